"""Exchanges at an exit, and the connections to targets that carry them."""

from collections import deque
from collections.abc import Iterable

from heatherspur.core import Address
from heatherspur.exchange import ExchangeKey
from heatherspur.http import CUSTOMER_FIELD, DEADLINE_FIELD, Field, TargetProtocol
from heatherspur.link import messages as m
from heatherspur.membership import Announcement
from heatherspur.net import Stream

__all__ = ["ExitExchange", "IdleConnections", "TargetConnection", "request_fields"]

MAX_IDLE_S = 1.0
MAX_IDLE_CONNECTIONS = 8
RESPONSE_WINDOW_BYTES = 262144


class ExitExchange:
    """State of one exchange at its exit.

    :param key: Key of the exchange.
    :param link: Link to the entry.
    :param head: Head of the request.
    :param now: Clock reading in seconds.
    :ivar sent_at_s: Clock reading when the head was sent to the target, or ``None``.
    :ivar head_at_s: Clock reading when the head of the answer arrived, or ``None``.
    :ivar window_bytes: Bytes of the answer that may still be sent to the entry.
    :ivar n_uncredited: Bytes of the request's body passed on but not credited to the
        entry.
    """

    def __init__(self, key: ExchangeKey, link, head: m.RequestHead, now: float):
        self.key = key
        self.link = link
        self.head = head
        self.deadline_s = now + head.deadline_ms / 1000
        self.body: deque[bytes] = deque()
        self.body_ended = not head.has_body
        self.connection: TargetConnection | None = None
        self.sent_at_s: float | None = None
        self.head_at_s: float | None = None
        self.queue_ms = 0.0
        self.window_bytes = RESPONSE_WINDOW_BYTES
        self.n_uncredited = 0
        self.is_shed = False
        self.n_shed_bytes = 0
        self.status = 0


class TargetConnection:
    """One connection to a target; it carries one exchange at a time.

    :param target: Target id.
    :param address: Address of the target.
    :ivar has_refused: Whether the target shed a request on it. Responses have no id, so
        that a repeated refusal would pass for that of the next request.
    """

    def __init__(self, target: str, address: Address) -> None:
        self.target = target
        self.address = address
        self.stream: Stream | None = None
        self.protocol = TargetProtocol()
        self.has_refused = False
        self.exchange: ExitExchange | None = None
        self.idle_since_s = 0.0


class IdleConnections:
    """Pool of idle connections by target."""

    def __init__(self) -> None:
        self._idle_by_target: dict[str, list[TargetConnection]] = {}

    def take(self, announced: Announcement, now: float) -> TargetConnection | None:
        """Remove and return a connection that was used recently enough to be open.

        :param announced: Announcement of the target.
        :param now: Clock reading in seconds.
        :returns: The connection, or ``None`` if a new one has to be opened.
        """
        idle = self._idle_by_target.get(announced.target, [])
        while idle:
            connection = idle.pop()
            is_fresh = now - connection.idle_since_s < MAX_IDLE_S
            is_same = connection.address == announced.address
            if is_fresh and is_same and not connection.stream.closed:
                return connection
            connection.stream.close()
        return None

    def put_back(self, connection: TargetConnection, now: float) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param connection: The connection.
        :param now: Clock reading in seconds.
        """
        idle = self._idle_by_target.setdefault(connection.target, [])
        stream, protocol = connection.stream, connection.protocol
        is_usable = protocol.reusable and not protocol.has_trailing_data
        is_unsafe = stream.closed or connection.has_refused
        if not is_usable or is_unsafe or len(idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        protocol.next_request()
        stream.resume()
        connection.idle_since_s = now
        idle.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Remove a lost connection from the pool, if it is there.

        :param connection: The connection.
        """
        idle = self._idle_by_target.get(connection.target, [])
        if connection in idle:
            idle.remove(connection)

    def close_target(self, target: str) -> None:
        """Close all idle connections to a target.

        :param target: Target id.
        """
        for connection in self._idle_by_target.pop(target, []):
            connection.stream.close()

    def close_expired(self, now: float) -> None:
        """Close connections that were idle for too long to be reused.

        :param now: Clock reading in seconds.
        """
        for idle in self._idle_by_target.values():
            for connection in list(idle):
                if now - connection.idle_since_s >= MAX_IDLE_S:
                    connection.stream.close()


def request_fields(head: m.RequestHead, left_ms: int) -> Iterable[Field]:
    """Yield the header fields with which a request is sent to its target.

    :param head: Head of the request.
    :param left_ms: Time left until the deadline, in milliseconds.
    """
    names = {name for name, _ in head.fields}
    yield from head.fields
    if head.has_body and b"content-length" not in names:
        yield b"transfer-encoding", b"chunked"
    if head.customer:
        yield CUSTOMER_FIELD, head.customer.encode()
    yield DEADLINE_FIELD, str(left_ms).encode()
