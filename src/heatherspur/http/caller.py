"""The server side of one HTTP connection, as events in and bytes out.

Message parsing is done by ``h11``. Requests whose length is given in two ways
are refused before that: RFC 9112, section 6.3, names them as a sign of request
smuggling.
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
    """One caller's connection.

    :param max_head_bytes: Longest request head, in bytes.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._head = b""
        self._connection = self._new_connection()
        self._head_fed = False

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request has come."""
        return not self._head_fed and not self._head

    @property
    def awaits_head(self) -> bool:
        """Whether a request head is still to come."""
        return not self._head_fed

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        done = self._connection.our_state is h11.DONE
        return done and self._connection.their_state is h11.DONE

    def receive(self, data: bytes) -> Iterator[HttpEvent]:
        """Take bytes from the caller.

        :param data: The bytes.
        :returns: The events that they complete.
        """
        if not self._head_fed:
            self._head += data
            fault = self._check_head()
            if fault is not None:
                yield fault
                return
            if not self._head_fed:
                return
        else:
            self._connection.receive_data(data)
        yield from self._events()

    def _check_head(self) -> Fault | None:
        """Pass a whole request head on, unless its length is ambiguous."""
        self._head = self._head.lstrip(b"\r\n")
        end = HEAD_END.search(self._head)
        if end is None:
            if len(self._head) > self._max_head_bytes:
                return Fault(431, "request head is too long")
            return None
        if end.end() > self._max_head_bytes:
            return Fault(431, "request head is too long")
        head = self._head[: end.end()]
        n_lengths = len(LENGTH_FIELD.findall(head))
        n_codings = len(CODING_FIELD.findall(head))
        if n_lengths > 1:
            return Fault(400, "Content-Length is repeated")
        if n_lengths and n_codings:
            return Fault(400, "Content-Length and Transfer-Encoding are both given")
        self._head_fed = True
        self._connection.receive_data(self._head)
        self._head = b""
        return None

    def _events(self) -> Iterator[HttpEvent]:
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
        """Return the bytes of ``100 Continue``, if the caller waits for it."""
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
        :raises h11.LocalProtocolError: If it passes the announced length.
        """
        return self._connection.send(h11.Data(data=data))

    def send_end(self) -> bytes:
        """Return the bytes that end the response.

        :raises h11.LocalProtocolError: If the announced length is not reached.
        """
        return self._connection.send(h11.EndOfMessage())

    def next_request(self) -> Iterator[HttpEvent]:
        """Start the next request; bytes that came early are parsed now.

        :returns: The events that they complete.
        """
        early, _ = self._connection.trailing_data
        self._connection = self._new_connection()
        self._head_fed = False
        yield from self.receive(early)
