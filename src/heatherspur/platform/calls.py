"""Connections to the platform's store, one call at a time on each."""

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
# A configuration of 300 KB takes half a second on the slowest links of today's hosts.
MAX_ANSWER_S = 15.0


class StoreCall(NamedTuple):
    """One call to the store.

    :param kind: What the caller knows it by.
    :param method: HTTP method.
    :param path: Request target.
    :param body: Request body.
    :param sent_at_s: Clock reading when it was sent.
    :param timeout_s: Seconds without a byte of the answer until it has failed.
    :param context: Whatever the caller keeps with the call.
    :param waits_long: Whether the store may keep the answer back for seconds.
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
    """One connection with at most one call under way."""

    def __init__(self) -> None:
        self.stream: Stream | None = None
        self.protocol: TargetProtocol | None = None
        self.call: StoreCall | None = None
        self.heard_at_s = 0.0
        self.status = 0
        self.body: list[bytes] = []
        self.next_try_at_s = 0.0
        self.n_failures = 0

    def is_free(self, now: float) -> bool:
        """Tell whether the next call may be sent.

        :param now: Clock reading in seconds.
        """
        return self.call is None and now >= self.next_try_at_s


class StoreHub(StreamHub):
    """Sends calls and reports their answers; subclasses say what follows.

    :param channel: Channel of the component.
    :param address: Address of the store.
    :param connect_timeout_s: Seconds until a connection attempt is given up.
    """

    def __init__(
        self, channel: str, address: Address, connect_timeout_s: float
    ) -> None:
        super().__init__(channel=channel)
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self.n_calls = 0

    def on_answer(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        """Handle a whole answer."""

    def on_failure(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Handle a call without an answer; it may have taken effect."""

    def retry_delay_s(self, channel: StoreChannel) -> float:
        """Return the seconds until a channel may call again after a failure."""
        raise NotImplementedError

    def send(self, channel: StoreChannel, call: StoreCall) -> None:
        """Send a call.

        :param channel: A free channel.
        :param call: The call.
        """
        self.n_calls += 1
        channel.call = call
        channel.status = 0
        channel.body = []
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

    def expire_calls(self, channels: tuple[StoreChannel, ...], now: float) -> None:
        """Fail calls whose time is over.

        :param channels: The channels.
        :param now: Clock reading in seconds.
        """
        self.expire_connects(now)
        for channel in channels:
            call = channel.call
            if call is None:
                continue
            silent_s = now - max(call.sent_at_s, channel.heard_at_s)
            if silent_s > call.timeout_s or now - call.sent_at_s > MAX_ANSWER_S:
                self.drop(channel, TIMED_OUT)

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Take bytes from the store."""
        channel: StoreChannel = stream.context
        if channel.stream is not stream:
            return
        channel.heard_at_s = now_s()
        for event in channel.protocol.receive(data):
            if isinstance(event, ResponseHead):
                channel.status = event.status
            elif isinstance(event, BodyChunk):
                channel.body.append(event.data)
            elif isinstance(event, MessageEnd):
                self._finish(channel)
            elif isinstance(event, Fault):
                self.drop(channel, event.reason)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the loss of a connection to the store."""
        channel: StoreChannel = stream.context
        if channel.stream is stream:
            self._fail(channel, reason)

    def drop(self, channel: StoreChannel, reason: str) -> None:
        """Fail the call under way and give its connection up.

        :param channel: The channel.
        :param reason: One short phrase.
        """
        stream = channel.stream
        self._fail(channel, reason)
        if stream is not None and not stream.closed:
            stream.abort()

    def fail_answer(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Treat an answer as a failure of its call.

        :param channel: The channel.
        :param call: The call.
        :param reason: One short phrase.
        """
        channel.n_failures += 1
        channel.next_try_at_s = now_s() + self.retry_delay_s(channel)
        self.on_failure(channel, call, reason)

    def _fail(self, channel: StoreChannel, reason: str) -> None:
        call, channel.call = channel.call, None
        channel.stream = None
        if call is not None:
            self.fail_answer(channel, call, reason)

    def _finish(self, channel: StoreChannel) -> None:
        call, channel.call = channel.call, None
        if channel.protocol.reusable:
            channel.protocol.next_request()
        else:
            channel.stream.close()
            channel.stream = None
        self.on_answer(channel, call, channel.status, b"".join(channel.body))
