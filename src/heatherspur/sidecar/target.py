"""Requests in progress at the target beside a node, and the connections to it."""

import math

from heatherspur.core import Address
from heatherspur.dispatch.history import RequestKey
from heatherspur.dispatch.scheduling import ReservationKey
from heatherspur.http import ConnectionHistory, Field, TargetProtocol
from heatherspur.link import messages as m
from heatherspur.net import Stream

__all__ = ["IdleTargetConnections", "TargetConnection", "TargetRequest"]

# Assumed if the target does not state its idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Connections are dropped before the target's idle timeout, so that a request does not
# cross the target's close on the wire.
IDLE_TIMEOUT_FRACTION = 0.7
# A target may close a connection earlier than it states, and the outcome of a request
# that meets a reset is unknown. Non-idempotent requests use only connections that were
# in use within this time.
MAX_NON_IDEMPOTENT_IDLE_S = 1.5
MAX_IDLE_CONNECTIONS = 8


class TargetRequest:
    """One request in progress at the target; owned by its connection.

    :param key: Key of its reservation.
    :param name: Name that identifies the request across all links of its entry.
    :param message: The request.
    :param now: Clock reading in seconds.
    :ivar reply_key: Reservation key to which the outcome is sent; it changes when the
        entry resumes the request over a new link.
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
        self.deadline_s = now + message.left_ms / 1000
        self.is_sent = False
        self.status = 0
        self.fields: tuple[Field, ...] = ()
        self.chunks: list[bytes] = []
        self.n_bytes = 0
        self.n_foreign_answers = 0


class TargetConnection:
    """One connection to the target; it carries one request at a time.

    :param address: Address of the target.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream | None = None
        self.protocol = TargetProtocol()
        self.history = ConnectionHistory()
        self.request: TargetRequest | None = None
        self.idle_since_s = 0.0
        self.reusable_until_s = 0.0


class IdleTargetConnections:
    """Pool of idle connections to the target; the most recently used is taken first."""

    def __init__(self) -> None:
        self._connections: list[TargetConnection] = []

    def take(
        self, address: Address, message: m.Execute, now: float
    ) -> TargetConnection | None:
        """Remove and return a connection that the target is expected to keep open.

        :param address: Address of the target.
        :param message: The request.
        :param now: Clock reading in seconds.
        :returns: The connection, or ``None`` if a new one has to be opened.
        """
        self._close_unusable(address, now)
        max_idle_s = math.inf if message.idempotent else MAX_NON_IDEMPOTENT_IDLE_S
        for connection in reversed(self._connections):
            if now - connection.idle_since_s >= max_idle_s:
                return None
            if connection.history.can_carry(message.attempt_id):
                self._connections.remove(connection)
                return connection
        return None

    def _close_unusable(self, address: Address, now: float) -> None:
        for connection in list(self._connections):
            is_same = connection.address == address
            if not is_same or now >= connection.reusable_until_s:
                self._connections.remove(connection)
                connection.stream.close()

    def put_back(
        self, connection: TargetConnection, idle_timeout_s: float, now: float
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param connection: The connection.
        :param idle_timeout_s: Idle timeout stated by the target, in seconds; 0 if it
            states none.
        :param now: Clock reading in seconds.
        """
        protocol, stream = connection.protocol, connection.stream
        is_full = len(self._connections) >= MAX_IDLE_CONNECTIONS
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
        connection.reusable_until_s = (
            now + (idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S) * IDLE_TIMEOUT_FRACTION
        )
        self._connections.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Remove a lost connection from the pool, if it is there.

        :param connection: The connection.
        """
        if connection in self._connections:
            self._connections.remove(connection)

    def close_all(self) -> None:
        """Close every idle connection."""
        idle, self._connections = self._connections, []
        for connection in idle:
            connection.stream.close()
