"""Connections to the platform's store, with at most one call in progress on each."""

from typing import Any, NamedTuple

from heatherspur.core import Address, now_s
from heatherspur.http import (
    BodyChunk,
    Fault,
    MessageEnd,
    ResponseHead,
    TargetProtocol,
)
from heatherspur.net import Stream, StreamHub

__all__ = ["TIMED_OUT", "StoreCall", "StoreChannel", "StoreHub"]

TIMED_OUT = "timed out"
# Limit for a whole response. A configuration of 300 KB takes half a second on the
# slowest host links.
MAX_RESPONSE_S = 15.0
# The store returns at most 1 MB of records.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class StoreCall(NamedTuple):
    """One call to the store.

    :param kind: Type of the call, as its caller names it.
    :param method: HTTP method.
    :param path: Request target.
    :param body: Request body.
    :param sent_at_s: Clock reading when the call was sent, in seconds.
    :param timeout_s: Seconds without a byte of the response after which the call fails.
    :param context: Data that the caller stores with the call.
    :param waits_long: Whether the call is a long poll, whose response the store may
        delay by several seconds.
    """

    kind: str
    method: str
    path: str
    body: bytes
    sent_at_s: float
    timeout_s: float
    context: Any = None
    waits_long: bool = False


class StoreChannel:
    """One connection to the store, with at most one call in progress.

    The :class:`StoreHub` that uses it owns its stream and its protocol state.
    """

    def __init__(self) -> None:
        self.stream: Stream | None = None
        self.protocol: TargetProtocol | None = None
        self.call: StoreCall | None = None
        self.received_at_s = 0.0
        self.status = 0
        self.body: list[bytes] = []
        self.n_body_bytes = 0
        self.next_try_at_s = 0.0
        self.n_failures = 0

    def is_free(self, now: float) -> bool:
        """Return whether the next call may be sent.

        :param now: Clock reading in seconds.
        """
        return self.call is None and now >= self.next_try_at_s


class StoreHub(StreamHub):
    """Sends calls to the store and passes each result to a method of the subclass.

    :param channel: Channel of the component.
    :param address: Address of the store.
    :param connect_timeout_s: Timeout of a connection attempt, in seconds.
    """

    def __init__(
        self, channel: str, address: Address, connect_timeout_s: float
    ) -> None:
        super().__init__(channel=channel)
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self.n_calls = 0

    def on_response(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        """Handle a complete response."""

    def on_failure(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Handle a call without a usable response; it may have taken effect."""

    def retry_delay_s(self, channel: StoreChannel) -> float:
        """Return the delay before the next call after a failure, in seconds."""
        raise NotImplementedError

    def send(self, channel: StoreChannel, call: StoreCall) -> None:
        """Send a call, over a new connection if the channel has none.

        :param channel: A free channel.
        :param call: The call.
        """
        self.n_calls += 1
        channel.call = call
        channel.status = 0
        channel.body = []
        channel.n_body_bytes = 0
        if channel.stream is None or channel.stream.closed:
            timeout_s = self._connect_timeout_s
            channel.stream = self.connect(self._address, timeout_s, channel)
            channel.protocol = TargetProtocol()
        fields = (
            (b"host", str(self._address).encode()),
            (b"content-length", str(len(call.body)).encode()),
        )
        protocol = channel.protocol
        head = protocol.send_request(call.method, call.path, fields)
        body = protocol.send_body(call.body) if call.body else b""
        channel.stream.write(head + body + protocol.send_end())

    def expire_overdue_calls(
        self, channels: tuple[StoreChannel, ...], now: float
    ) -> None:
        """Fail calls that exceed their timeout or the limit for a whole response.

        :param channels: The channels.
        :param now: Clock reading in seconds.
        """
        self.expire_connects(now)
        for channel in channels:
            call = channel.call
            if call is None:
                continue
            silent_s = now - max(call.sent_at_s, channel.received_at_s)
            if silent_s > call.timeout_s or now - call.sent_at_s > MAX_RESPONSE_S:
                self.abort_call(channel, TIMED_OUT)

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Process bytes from the store."""
        channel: StoreChannel = stream.context
        if channel.stream is not stream:
            return
        if channel.call is None:
            # Unsolicited bytes belong to no call.
            self.abort_call(channel, "unsolicited response")
            return
        channel.received_at_s = now_s()
        for event in channel.protocol.receive(data):
            if isinstance(event, ResponseHead):
                channel.status = event.status
            elif isinstance(event, BodyChunk):
                channel.body.append(event.data)
                channel.n_body_bytes += len(event.data)
                if channel.n_body_bytes > MAX_RESPONSE_BYTES:
                    self.abort_call(channel, "response too long")
                    return
            elif isinstance(event, MessageEnd):
                self._complete_call(channel)
                return
            elif isinstance(event, Fault):
                self.abort_call(channel, event.reason)
                return

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the loss of a connection to the store."""
        channel: StoreChannel = stream.context
        if channel.stream is stream:
            self._fail_active_call(channel, reason)

    def abort_call(self, channel: StoreChannel, reason: str) -> None:
        """Fail the call in progress and close its connection.

        :param channel: The channel.
        :param reason: One short phrase.
        """
        stream = channel.stream
        self._fail_active_call(channel, reason)
        if stream is not None and not stream.closed:
            stream.abort()

    def fail_call(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Record the failure of a call and schedule the earliest retry.

        :param channel: The channel.
        :param call: The call.
        :param reason: One short phrase.
        """
        channel.n_failures += 1
        channel.next_try_at_s = now_s() + self.retry_delay_s(channel)
        self.on_failure(channel, call, reason)

    def _fail_active_call(self, channel: StoreChannel, reason: str) -> None:
        call, channel.call = channel.call, None
        channel.stream = None
        if call is not None:
            self.fail_call(channel, call, reason)

    def _complete_call(self, channel: StoreChannel) -> None:
        call, channel.call = channel.call, None
        if channel.protocol.reusable and not channel.protocol.has_trailing_data:
            channel.protocol.next_request()
        else:
            channel.stream.close()
            channel.stream = None
        self.on_response(channel, call, channel.status, b"".join(channel.body))
