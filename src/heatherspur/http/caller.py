"""Server side of one HTTP connection, without I/O.

``h11`` parses the messages. Requests that specify their length in two ways are refused
before parsing, because RFC 9112, section 6.3, describes them as a possible attempt at
request smuggling.
"""

import re
from collections.abc import Iterator

import h11

from heatherspur.http.fields import Field
from heatherspur.http.messages import (
    BodyChunk,
    Fault,
    HttpEvent,
    MessageEnd,
    RequestHead,
)

__all__ = ["CallerProtocol"]

HEAD_END = re.compile(rb"\r?\n\r?\n")
LENGTH_FIELD = re.compile(rb"^content-length[ \t]*:", re.IGNORECASE | re.MULTILINE)
CODING_FIELD = re.compile(rb"^transfer-encoding[ \t]*:", re.IGNORECASE | re.MULTILINE)
REFUSED_METHODS = ("CONNECT", "TRACE")


class CallerProtocol:
    """Protocol state of one caller's connection, which owns it.

    :param max_head_bytes: Maximum size of a request head, in bytes.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._head_buffer = b""
        self._connection = self._new_connection()
        self._is_head_complete = False

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    @property
    def idle(self) -> bool:
        """Whether no byte of the next request has been received."""
        return not self._is_head_complete and not self._head_buffer

    @property
    def awaits_head(self) -> bool:
        """Whether the request head is still incomplete."""
        return not self._is_head_complete

    @property
    def is_body_pending(self) -> bool:
        """Whether the response is complete, but the body of the request is not."""
        done = self._connection.our_state is h11.DONE
        return done and self._connection.their_state is h11.SEND_BODY

    @property
    def reusable(self) -> bool:
        """Whether the connection can be reused for another request."""
        done = self._connection.our_state is h11.DONE
        return done and self._connection.their_state is h11.DONE

    def receive(self, data: bytes) -> Iterator[HttpEvent]:
        """Process bytes from the caller.

        :param data: The bytes.
        :returns: The events that the bytes complete.
        """
        if not self._is_head_complete:
            self._head_buffer += data
            fault = self._feed_head()
            if fault is not None:
                yield fault
                return
            if not self._is_head_complete:
                return
        else:
            self._connection.receive_data(data)
        yield from self._iter_events()

    def _feed_head(self) -> Fault | None:
        """Pass a complete request head to the parser unless its length is ambiguous.

        :returns: The reason to refuse the request, or ``None``.
        """
        self._head_buffer = self._head_buffer.lstrip(b"\r\n")
        end = HEAD_END.search(self._head_buffer)
        if end is None:
            if len(self._head_buffer) > self._max_head_bytes:
                return Fault(431, "request head is too long")
            return None
        if end.end() > self._max_head_bytes:
            return Fault(431, "request head is too long")
        head = self._head_buffer[: end.end()]
        n_lengths = len(LENGTH_FIELD.findall(head))
        n_codings = len(CODING_FIELD.findall(head))
        if n_lengths > 1:
            return Fault(400, "Content-Length is repeated")
        if n_lengths and n_codings:
            return Fault(400, "Content-Length and Transfer-Encoding are both given")
        self._is_head_complete = True
        self._connection.receive_data(self._head_buffer)
        self._head_buffer = b""
        return None

    def _iter_events(self) -> Iterator[HttpEvent]:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                yield Fault(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                yield self._request_head(event)
            elif isinstance(event, h11.Data):
                yield BodyChunk(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                yield MessageEnd()
            else:
                return

    def _request_head(self, event: h11.Request) -> HttpEvent:
        method = event.method.decode("ascii")
        if method in REFUSED_METHODS:
            return Fault(501, f"method {method} is not served")
        names = {name for name, _ in event.headers}
        return RequestHead(
            method=method,
            target=event.target.decode("latin-1"),
            fields=tuple((bytes(n), bytes(v)) for n, v in event.headers),
            has_body=b"content-length" in names or b"transfer-encoding" in names,
            expects_continue=self._connection.they_are_waiting_for_100_continue,
        )

    def send_continue(self) -> bytes:
        """Return the bytes of ``100 Continue``, or none if the caller expects none."""
        if not self._connection.they_are_waiting_for_100_continue:
            return b""
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self._connection.send(event)

    def send_head(self, status: int, fields: tuple[Field, ...]) -> bytes:
        """Return the bytes of a response head.

        :param status: Status code.
        :param fields: Fields, names in lower case.
        """
        return self._connection.send(
            h11.Response(status_code=status, headers=list(fields))
        )

    def send_body(self, data: bytes) -> bytes:
        """Return the bytes of a part of the body.

        :param data: The part.
        :raises h11.LocalProtocolError: If the body exceeds the announced length.
        """
        return self._connection.send(h11.Data(data=data))

    def send_end(self) -> bytes:
        """Return the bytes that end the response.

        :raises h11.LocalProtocolError: If the body is shorter than announced.
        """
        return self._connection.send(h11.EndOfMessage())

    def next_request(self) -> Iterator[HttpEvent]:
        """Start the next request and parse the pipelined bytes received so far.

        :returns: The events that the bytes complete.
        """
        surplus, _ = self._connection.trailing_data
        self._connection = self._new_connection()
        self._is_head_complete = False
        yield from self.receive(surplus)
