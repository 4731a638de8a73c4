"""Client side of one HTTP connection, without I/O."""

from collections.abc import Iterator

import h11

from heatherspur.http.fields import Field
from heatherspur.http.messages import BodyChunk, Fault, HttpEvent, MessageEnd
from heatherspur.http.messages import ResponseHead as Head

__all__ = ["TargetProtocol"]

BAD_GATEWAY = 502


class TargetProtocol:
    """Protocol state of one connection to a target, which owns it."""

    def __init__(self) -> None:
        self._connection = h11.Connection(h11.CLIENT)

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
        yield from self._iter_events()

    def _iter_events(self) -> Iterator[HttpEvent]:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                yield Fault(BAD_GATEWAY, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                fields = tuple((bytes(n), bytes(v)) for n, v in event.headers)
                yield Head(event.status_code, fields)
            elif isinstance(event, h11.Data):
                yield BodyChunk(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                yield MessageEnd()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

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
        self._connection = h11.Connection(h11.CLIENT)
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
