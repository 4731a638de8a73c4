"""Connections to the target beside a node."""

from heatherspur.core import Address
from heatherspur.dispatch.history import RequestKey
from heatherspur.dispatch.scheduling import ReservationKey
from heatherspur.http import Field, TargetProtocol
from heatherspur.link import messages as m
from heatherspur.net import Stream

__all__ = ["IdleTargetConnections", "TargetConnection", "TargetRequest"]

# Where the target does not tell when it closes idle connections.
DEFAULT_IDLE_S = 4.0
# A request must not cross the target's close.
IDLE_SHARE = 0.7
# A target may forget a connection sooner than it says, and a reset then leaves the
# outcome open; what may run once only goes over one that was used a moment ago.
MAX_IDLE_ONCE_S = 1.5
MAX_IDLE_CONNECTIONS = 8


class TargetRequest:
    """One request at the target.

    :param key: Name of its reservation.
    :param name: Its name over all links of its entry.
    :param message: The request.
    :param now: Clock reading in seconds.
    """

    def __init__(
        self,
        key: ReservationKey,
        name: RequestKey,
        message: m.Execute,
        now: float,
    ) -> None:
        self.key = key
        self.reply_key = key
        self.name = name
        self.message = message
        self.started_at_s = now
        self.until_s = now + message.left_ms / 1000
        self.is_sent = False
        self.status = 0
        self.fields: tuple[Field, ...] = ()
        self.chunks: list[bytes] = []
        self.n_bytes = 0


class TargetConnection:
    """One connection to the target.

    :param address: Its address.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream | None = None
        self.protocol = TargetProtocol()
        self.request: TargetRequest | None = None
        self.idle_since_s = 0.0
        self.idle_until_s = 0.0


class IdleTargetConnections:
    """Connections that wait for their next request, the last used first."""

    def __init__(self) -> None:
        self._idle: list[TargetConnection] = []

    def take(
        self, address: Address, idempotent: bool, now: float
    ) -> TargetConnection | None:
        """Return a connection that the target surely keeps open.

        :param address: Address of the target.
        :param idempotent: Whether the request may run again.
        :param now: Clock reading in seconds.
        """
        while self._idle:
            connection = self._idle.pop()
            is_same = connection.address == address
            if not is_same or now >= connection.idle_until_s:
                connection.stream.close()
            elif idempotent or now - connection.idle_since_s < MAX_IDLE_ONCE_S:
                return connection
            else:
                self._idle.append(connection)
                return None
        return None

    def put_back(
        self, connection: TargetConnection, idle_timeout_s: float, now: float
    ) -> None:
        """Keep a connection for the next request, if it can take one.

        :param connection: The connection.
        :param idle_timeout_s: When the target closes it, in seconds; 0 if not told.
        :param now: Clock reading in seconds.
        """
        protocol, stream = connection.protocol, connection.stream
        is_full = len(self._idle) >= MAX_IDLE_CONNECTIONS
        if (
            stream.closed
            or is_full
            or protocol.has_trailing_data
            or not protocol.reusable
        ):
            stream.close()
            return
        protocol.next_request()
        connection.idle_since_s = now
        connection.idle_until_s = now + (idle_timeout_s or DEFAULT_IDLE_S) * IDLE_SHARE
        self._idle.append(connection)

    def forget(self, connection: TargetConnection) -> None:
        """Drop a connection that was lost.

        :param connection: The connection.
        """
        if connection in self._idle:
            self._idle.remove(connection)

    def close_all(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.stream.close()
