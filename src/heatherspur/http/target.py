"""Client side of one HTTP connection, without I/O.

A faulty target may send any bytes at any time, also without end. Each part of a
response therefore has a limit, after which the response is a :class:`Fault`.
"""

from collections.abc import Iterator

import h11

from heatherspur.http.fields import Field
from heatherspur.http.messages import BodyChunk, Fault, HttpEvent, MessageEnd
from heatherspur.http.messages import ResponseHead as Head

__all__ = ["TargetProtocol"]

BAD_GATEWAY = 502
# Size of a response head, of a line of chunk framing, and of the trailers.
MAX_HEAD_BYTES = 16384
# Targets have no reason to send more than a 100 or a 103 before a response.
MAX_INTERIM_RESPONSES = 8
# Bytes besides the body: heads and chunk framing. A chunk of one byte has five bytes of
# framing.
MAX_FRAMING_BYTES = 131072
MAX_FRAMING_RATIO = 8
# Parts of a body, which are chunks or reads. Each takes about 12 us of processor time,
# whatever its size.
MAX_BODY_PARTS = 131072


class TargetProtocol:
    """Protocol state of one connection to a target, which owns it."""

    def __init__(self) -> None:
        self._connection = self._new_connection()
        self._reset_counts()

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def _reset_counts(self) -> None:
        self._n_interim = 0
        self._n_received_bytes = 0
        self._n_body_bytes = 0
        self._n_body_parts = 0

    @property
    def reusable(self) -> bool:
        """Whether the connection can be reused for another request."""
        done = self._connection.our_state is h11.DONE
        return done and self._connection.their_state is h11.DONE

    def send_request(self, method: str, path: str, fields: tuple[Field, ...]) -> bytes:
        """Return the bytes of a request head.

        :param method: Method in capitals.
        :param path: Request target in origin form.
        :param fields: Fields, names in lower case.
        :raises h11.LocalProtocolError: If the request is invalid.
        """
        return self._connection.send(
            h11.Request(method=method, target=path, headers=list(fields))
        )

    def send_body(self, data: bytes) -> bytes:
        """Return the bytes of a part of the body.

        :param data: The part.
        """
        return self._connection.send(h11.Data(data=data))

    def send_end(self) -> bytes:
        """Return the bytes that end the request."""
        return self._connection.send(h11.EndOfMessage())

    def receive(self, data: bytes) -> Iterator[HttpEvent]:
        """Process bytes from the target.

        :param data: The bytes; empty if the target closed the connection.
        :returns: The events that the bytes complete.
        """
        try:
            self._connection.receive_data(data)
        except RuntimeError:
            return
        self._n_received_bytes += len(data)
        yield from self._iter_events()

    def _iter_events(self) -> Iterator[HttpEvent]:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                yield Fault(BAD_GATEWAY, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._has_excess_framing:
                    yield Fault(BAD_GATEWAY, "too many bytes besides the body")
                return
            if isinstance(event, h11.Response):
                fields = tuple((bytes(n), bytes(v)) for n, v in event.headers)
                yield Head(event.status_code, fields)
            elif isinstance(event, h11.InformationalResponse):
                self._n_interim += 1
                if self._n_interim > MAX_INTERIM_RESPONSES:
                    yield Fault(BAD_GATEWAY, "too many interim responses")
                    return
            elif isinstance(event, h11.Data):
                self._n_body_bytes += len(event.data)
                self._n_body_parts += 1
                if self._n_body_parts > MAX_BODY_PARTS:
                    yield Fault(BAD_GATEWAY, "body in too many parts")
                    return
                yield BodyChunk(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                yield MessageEnd()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    @property
    def _has_excess_framing(self) -> bool:
        limit = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._n_body_bytes
        return self._n_received_bytes - self._n_body_bytes > limit

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes were received after the complete response."""
        return bool(self._connection.trailing_data[0])

    def discard_response(self, method: str) -> Iterator[HttpEvent]:
        """Discard the received response and wait for another to the same request.

        :param method: Method of the request.
        :returns: The events that already received bytes complete.
        """
        surplus, _ = self._connection.trailing_data
        self._connection = self._new_connection()
        self._reset_counts()
        # h11 requires a request before each response. The bytes of this one are not
        # sent, because the target already has the request.
        sent = h11.Request(method=method, target="/", headers=[("host", "-")])
        self._connection.send(sent)
        self._connection.send(h11.EndOfMessage())
        if surplus:
            yield from self.receive(surplus)

    def next_request(self) -> None:
        """Prepare the connection for another request."""
        self._connection.start_next_cycle()
        self._reset_counts()
