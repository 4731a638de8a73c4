"""Owns the sockets of all links and transports messages in websockets frames."""

import itertools
import logging
from collections.abc import Callable

from circuits import Event, handler
from websockets.client import ClientProtocol
from websockets.extensions.permessage_deflate import PerMessageDeflate
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import Protocol, Side, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from heatherspur.core import Address, now_s
from heatherspur.link import messages as m
from heatherspur.link.auth import Handshake
from heatherspur.link.codec import decode, encode
from heatherspur.link.conf import LinkSettings
from heatherspur.net import Stream, StreamHub

__all__ = ["Link", "LinkHub", "LocalLink", "link_down", "link_up", "received"]

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# A window of 4 KB holds the header fields of several requests. With this memory level,
# compression uses about 30 KB per link.
COMPRESSION_WINDOW_BITS = 12
COMPRESSION_MEMORY_LEVEL = 4

CHANNEL_BY_TYPE: dict[type, str] = {
    m.Heartbeat: "members",
    m.Ping: "members",
    m.RequestHead: "exit",
    m.RequestBody: "exit",
    m.RequestEnd: "exit",
    m.Cancel: "exit",
    m.Refusal: "entry",
    m.Failure: "entry",
    m.ResponseHead: "entry",
    m.ResponseBody: "entry",
    m.ResponseEnd: "entry",
    m.RecordsRequest: "catalogue",
    m.Records: "catalogue",
    m.StateSnapshot: "catalogue",
    m.TokenRequest: "limits",
    m.TokenGrant: "limits",
    m.TokenSettlement: "limits",
    m.TableQuery: "limits",
    m.TableConfirmation: "limits",
    m.PermitRequest: "ejection",
    m.PermitResponse: "ejection",
    m.Reserve: "exit",
    m.Withdraw: "exit",
    m.Execute: "exit",
    m.Resume: "exit",
    m.Queued: "entry",
    m.Grant: "entry",
    m.Decline: "entry",
    m.NotRun: "entry",
    m.Failed: "entry",
    m.Answer: "entry",
    m.FeedRecords: "feed",
    m.FeedHeartbeat: "feed",
    m.FeedEndOffset: "feed",
    m.FeedRequest: "feed",
}

log = logging.getLogger("heatherspur.link")


class link_up(Event):  # noqa: N801 - circuits names events in lower case
    """The handshake of a link is complete.

    :param link: The link.
    """


class link_down(Event):  # noqa: N801
    """A link was closed or could not be opened.

    :param link: The link.
    :param reason: One short phrase.
    """


class received(Event):  # noqa: N801
    """Messages arrived over a link.

    :param link: The link.
    :param messages: The messages, in the order of arrival.
    """


class flush_links(Event):  # noqa: N801
    """Send the pending messages of each link as one frame."""


def channel_for(message: m.Message, is_entry: bool) -> str | None:
    """Return the channel of the component that handles a message.

    :param message: The message.
    :param is_entry: Whether it arrived over a link that this node opened.
    :returns: The channel, or ``None`` for a message of the handshake.
    """
    if isinstance(message, m.Credit):
        return "entry" if is_entry else "exit"
    return CHANNEL_BY_TYPE.get(type(message))


_serial_numbers = itertools.count(1)


def _new_compression() -> PerMessageDeflate:
    """Return the compression of one link, which mainly shortens header field names."""
    return PerMessageDeflate(
        remote_no_context_takeover=False,
        local_no_context_takeover=False,
        remote_max_window_bits=COMPRESSION_WINDOW_BITS,
        local_max_window_bits=COMPRESSION_WINDOW_BITS,
        compress_settings={"memLevel": COMPRESSION_MEMORY_LEVEL},
    )


class Link:
    """One websockets connection to another node; owned by the hub of its stream.

    :param stream: The underlying TCP connection.
    :param protocol: The websockets state machine.
    :param handshake: The handshake of this side.
    :param is_entry: Whether this node opened the link.
    """

    def __init__(
        self,
        stream: Stream,
        protocol: ClientProtocol | ServerProtocol,
        handshake: Handshake,
        is_entry: bool,
    ) -> None:
        self.serial = next(_serial_numbers)
        self.stream = stream
        self.protocol = protocol
        self.handshake = handshake
        self.is_entry = is_entry
        self.opened_at_s = now_s()
        self.ping_s = 0.0
        self._pending_messages: list[m.Message] = []

    @property
    def ready(self) -> bool:
        """Whether messages may be sent."""
        return self.handshake.accepted and not self.stream.closed

    @property
    def node(self) -> str:
        """Node id of the peer."""
        return self.handshake.peer.node

    @property
    def incarnation(self) -> str:
        """Incarnation of the peer."""
        return self.handshake.peer.incarnation

    @property
    def zone(self) -> str:
        """Zone of the peer."""
        return self.handshake.peer.zone

    def send(self, message: m.Message) -> None:
        """Queue a message for the next frame.

        :param message: The message.
        """
        if not self._pending_messages:
            self.stream.hub.schedule_flush(self)
        self._pending_messages.append(message)

    def send_pending(self) -> None:
        """Send the queued messages as one frame."""
        messages, self._pending_messages = self._pending_messages, []
        if self.stream.closed or self.protocol.state is not State.OPEN:
            return
        data = encode(messages)
        self.stream.hub.n_sent_bytes += len(data)
        self.protocol.send_binary(data)
        self.flush()

    def flush(self) -> None:
        """Write the pending output of the websockets state machine to the stream."""
        for data in self.protocol.data_to_send():
            if data:
                self.stream.write(data)
            else:
                self.stream.close()


class LocalLink:
    """One end of an in-process link from a node to itself.

    :param hub: The link hub.
    :param node: Own node id.
    :param incarnation: Own incarnation.
    :param zone: Own zone.
    :param is_entry: Whether this is the entry end.
    """

    ready = True

    def __init__(
        self, hub: "LinkHub", node: str, incarnation: str, zone: str, is_entry: bool
    ) -> None:
        self.serial = next(_serial_numbers)
        self._hub = hub
        self.node = node
        self.incarnation = incarnation
        self.zone = zone
        self.is_entry = is_entry
        self.peer_end: LocalLink | None = None
        self.ping_s = 0.0
        self._pending_messages: list[m.Message] = []

    def send(self, message: m.Message) -> None:
        """Queue a message for delivery to the other end.

        :param message: The message.
        """
        if not self._pending_messages:
            self._hub.schedule_flush(self)
        self._pending_messages.append(message)

    def send_pending(self) -> None:
        """Deliver the queued messages to the other end."""
        messages, self._pending_messages = self._pending_messages, []
        self._hub.dispatch_messages(self.peer_end, messages)


class LinkHub(StreamHub):
    """Opens and accepts links, and fires their messages to the components' channels.

    :param settings: Link settings.
    :param identity: Function that returns node id, incarnation and zone of this node.
    """

    def __init__(
        self, settings: LinkSettings, identity: Callable[[], tuple[str, str, str]]
    ) -> None:
        super().__init__(channel="links")
        self._settings = settings
        self._identity = identity
        self.n_sent_bytes = 0
        self._links_to_flush: list[Link | LocalLink] = []

    def dial(self, address: Address) -> Link:
        """Open a link as its entry side.

        :param address: Link address of the other node.
        :returns: The link; :class:`link_up` or :class:`link_down` follows.
        """
        protocol = self._new_protocol(address)
        stream = self.connect(address, self._settings.link_timeout_s, None)
        link = self._new_link(stream, protocol, is_entry=True)
        stream.context = link
        if not self._settings.fleet_secret:
            # Without a secret, the network controls admission and messages may be sent
            # at once; the stream buffers them until it is connected.
            link.handshake.accept_without_proof(str(address))
            link.send(link.handshake.hello)
        return link

    def _new_protocol(self, address: Address | None) -> Protocol:
        """Return the websockets state machine of one side.

        Without a fleet secret, the network controls the admission of nodes. Frames then
        start without an HTTP upgrade and a handshake, which saves three round trips and
        some hundred bytes per link.

        :param address: Address of the peer, or ``None`` for an accepted connection.
        """
        if not self._settings.fleet_secret:
            side = Side.SERVER if address is None else Side.CLIENT
            protocol = Protocol(side, state=State.OPEN, max_size=MAX_MESSAGE_BYTES)
            protocol.extensions = [_new_compression()]
            return protocol
        if address is None:
            return ServerProtocol(max_size=MAX_MESSAGE_BYTES)
        return ClientProtocol(
            parse_uri(f"ws://{address}/link"), max_size=MAX_MESSAGE_BYTES
        )

    def _new_link(self, stream: Stream, protocol, is_entry: bool) -> Link:
        secret = self._settings.fleet_secret
        handshake = Handshake(secret, *self._identity(), is_entry=is_entry)
        return Link(stream, protocol, handshake, is_entry)

    def on_connected(self, stream: Stream) -> None:
        """Start the websockets handshake, or report the link if none is needed."""
        link: Link = stream.context
        if not self._settings.fleet_secret:
            self.fire(link_up(link), "*")
            return
        link.protocol.send_request(link.protocol.connect())
        link.flush()

    def on_accepted(self, stream: Stream) -> None:
        """Create the link of an accepted connection; the peer starts the handshake."""
        protocol = self._new_protocol(None)
        stream.context = self._new_link(stream, protocol, is_entry=False)

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Process bytes from a peer."""
        link: Link = stream.context
        link.protocol.receive_data(data)
        for event in link.protocol.events_received():
            self._on_event(link, event)
            if stream.closed:
                return
        link.flush()
        if getattr(link.protocol, "handshake_exc", None) is not None:
            self.close_stream(
                stream, f"handshake failed: {link.protocol.handshake_exc}"
            )

    def _on_event(self, link: Link, event: Request | Response | Frame) -> None:
        if isinstance(event, Request):
            link.protocol.send_response(link.protocol.accept(event))
            link.flush()
            return
        if isinstance(event, Response):
            if link.protocol.state is State.OPEN:
                link.send(link.handshake.hello)
                link.send_pending()
            return
        if event.opcode is Opcode.BINARY and event.fin:
            self._on_frame(link, bytes(event.data))
        elif event.opcode in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
            self._reject(link, "frame is not one binary message")

    def _on_frame(self, link: Link, data: bytes) -> None:
        decoded = decode(data, str(link.stream.peer))
        if decoded.is_err():
            self._reject(link, decoded.err_value.reason)
            return
        messages = decoded.ok_value
        while messages and not link.handshake.accepted and not link.stream.closed:
            self._authenticate(link, messages.pop(0))
        if messages and not link.stream.closed:
            self.dispatch_messages(link, messages)

    def dispatch_messages(
        self, link: "Link | LocalLink", messages: list[m.Message]
    ) -> None:
        """Fire messages to the components that handle them, in order.

        :param link: The link over which the messages arrived.
        :param messages: The messages.
        """
        groups = itertools.groupby(messages, lambda x: channel_for(x, link.is_entry))
        for channel, group in groups:
            if channel is None:
                self._reject(link, "unexpected message of the handshake")
                return
            self.fire(received(link, tuple(group)), channel)

    def schedule_flush(self, link: "Link | LocalLink") -> None:
        """Send the pending messages of a link after the queued events.

        :param link: The link.
        """
        if not self._links_to_flush:
            self.fire(flush_links(), "links")
        self._links_to_flush.append(link)

    @handler("flush_links")
    def _on_flush_links(self):
        links, self._links_to_flush = self._links_to_flush, []
        for link in links:
            link.send_pending()

    def open_local(self) -> "LocalLink":
        """Return the entry end of a link from this node to itself."""
        entry_end = LocalLink(self, *self._identity(), is_entry=True)
        entry_end.peer_end = LocalLink(self, *self._identity(), is_entry=False)
        entry_end.peer_end.peer_end = entry_end
        return entry_end

    def _authenticate(self, link: Link, message: m.Message) -> None:
        handshake = link.handshake
        if isinstance(message, m.Hello):
            problem = handshake.receive_hello(message)
            if problem is None and not self._settings.fleet_secret:
                handshake.accepted = True
                self.fire(link_up(link), "*")
            elif problem is None:
                if not link.is_entry:
                    link.send(handshake.hello)
                link.send(handshake.proof())
        elif isinstance(message, m.Proof):
            problem = handshake.verify_proof(message)
            if problem is None:
                self.fire(link_up(link), "*")
        else:
            problem = f"{type(message).__name__} before the handshake"
        if problem is not None:
            self._reject(link, problem)

    def _reject(self, link: Link, reason: str) -> None:
        peer = str(link.stream.peer)
        log.warning(
            "link: message refused, closing link",
            extra={"peer": peer, "reason": reason},
        )
        link.protocol.fail(1008, reason[:100])
        link.flush()
        self.close_stream(link.stream, reason)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Report that a link is closed."""
        link: Link | None = stream.context
        if link is not None:
            self.fire(link_down(link, reason), "*")

    @handler("tick", channel="*")
    def _on_tick(self, now):
        """Close connection attempts and handshakes that exceed their timeout."""
        self.expire_connects(now)
        limit_s = self._settings.link_timeout_s
        for stream in list(self.streams_by_socket.values()):
            link: Link = stream.context
            overdue = now - link.opened_at_s > 2 * limit_s
            if not link.handshake.accepted and overdue:
                self.close_stream(stream, "handshake timed out")
