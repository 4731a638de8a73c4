"""TCP listeners and connections with bounded buffers.

``circuits.net`` reads without a bound and offers no way to pause a connection.
:class:`StreamHub` therefore owns its sockets itself and uses only the circuits
poller: it can stop reading from a peer while the other side is slow.
"""

import errno
import socket
from collections import deque
from typing import Any, NamedTuple

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from heatherspur.core import Address, now_s

__all__ = ["Keepalive", "Stream", "StreamHub"]

READ_SIZE_BYTES = 65536
HIGH_WATER_BYTES = 262144
LISTEN_BACKLOG = 1024
IN_PROGRESS = {errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN}


class Keepalive(NamedTuple):
    """When the kernel gives a connection up whose peer does not answer.

    :param idle_s: Whole seconds without traffic until the first probe.
    :param interval_s: Whole seconds between probes.
    :param n_probes: Probes without an answer until the connection is lost.
    :param unacked_ms: Milliseconds until data without acknowledgement does the same.
    """

    idle_s: int
    interval_s: int
    n_probes: int
    unacked_ms: int

    def apply(self, sock: socket.socket) -> None:
        """Set the options of a socket.

        :param sock: The socket.
        """
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, self.n_probes)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, self.unacked_ms)


class Stream:
    """One TCP connection; owned by the hub that made it.

    :param hub: The owner.
    :param sock: Non-blocking socket.
    :param peer: Address of the other side.
    :param context: Whatever the owner keeps with the connection.
    """

    def __init__(self, hub: "StreamHub", sock: socket.socket, peer: Address) -> None:
        self.hub = hub
        self.sock = sock
        self.peer = peer
        self.context: Any = None
        self.connecting_until_s: float | None = None
        self.failure = "connect timed out"
        self.closed = False
        self.closing = False
        self.paused = False
        self.n_buffered_bytes = 0
        self._chunks: deque[memoryview] = deque()

    @property
    def congested(self) -> bool:
        """Whether the send buffer holds more than its high-water mark."""
        return self.n_buffered_bytes > HIGH_WATER_BYTES

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until the peer takes them.

        :param data: The bytes.
        """
        if self.closed or not data:
            return
        view = memoryview(data)
        if not self._chunks and self.connecting_until_s is None:
            view = view[self._send(view) :]
            if self.closed or not view:
                return
        if not self._chunks:
            self.hub.watch_writable(self)
        self._chunks.append(view)
        self.n_buffered_bytes += len(view)

    def _send(self, view: memoryview) -> int:
        try:
            return self.sock.send(view)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.hub.close_stream(self, f"send failed: {error.strerror}")
            return 0

    def flush(self) -> None:
        """Send what is buffered, as far as the peer takes it."""
        while self._chunks and not self.closed:
            view = self._chunks[0]
            n_sent = self._send(view)
            if self.closed:
                return
            self.n_buffered_bytes -= n_sent
            if n_sent < len(view):
                self._chunks[0] = view[n_sent:]
                return
            self._chunks.popleft()
        if self.closed:
            return
        self.hub.unwatch_writable(self)
        if self.closing:
            self.hub.close_stream(self, "closed here")

    def pause(self) -> None:
        """Stop reading from the peer."""
        if not self.paused and not self.closed:
            self.paused = True
            self.hub.unwatch_readable(self)

    def resume(self) -> None:
        """Read from the peer again."""
        if self.paused and not self.closed:
            self.paused = False
            self.hub.watch_readable(self)

    def close(self) -> None:
        """Close once everything buffered has been sent."""
        self.closing = True
        if not self._chunks and not self.closed:
            self.hub.close_stream(self, "closed here")

    def abort(self) -> None:
        """Close at once with a reset, so that the peer sees no clean end."""
        if self.closed:
            return
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.hub.close_stream(self, "aborted here")


class StreamHub(BaseComponent):
    """A component that owns listeners and connections.

    Subclasses override the ``on_`` methods. Nothing else touches the sockets.

    :cvar keepalive: How silent peers are noticed, or ``None`` for the kernel's way.
    """

    keepalive: Keepalive | None = None

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        self.streams_by_socket: dict[socket.socket, Stream] = {}
        self._listeners: list[socket.socket] = []
        self._poller: BasePoller | None = None

    def on_accepted(self, stream: Stream) -> None:
        """Handle a connection that a peer opened."""

    def on_connected(self, stream: Stream) -> None:
        """Handle a connection that this hub asked for and got."""

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Handle bytes from the peer."""

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the end of a connection, whoever closed it."""

    def on_drained(self, stream: Stream) -> None:
        """Handle a send buffer that fell below its high-water mark."""

    def attach(self, poller: BasePoller) -> None:
        """Use this poller.

        :param poller: The poller that is registered with the root component.
        """
        self._poller = poller

    def listen(self, address: Address) -> Address:
        """Open a listener.

        :param address: Where to listen; port 0 lets the kernel choose.
        :returns: The address bound.
        :raises OSError: If the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        self._listeners.append(sock)
        self._poller.addReader(self, sock)
        return Address(*sock.getsockname()[:2])

    def stop_listening(self) -> None:
        """Close the listeners; connections go on."""
        for sock in self._listeners:
            self._poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def connect(self, address: Address, timeout_s: float, context: Any) -> Stream:
        """Open a connection without waiting for it.

        :param address: Where to.
        :param timeout_s: Seconds until the attempt is given up.
        :param context: Kept as ``stream.context``.
        :returns: The stream; :meth:`on_connected` or :meth:`on_closed` follows.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.keepalive is not None:
            self.keepalive.apply(sock)
        stream = Stream(self, sock, address)
        stream.context = context
        stream.connecting_until_s = now_s() + timeout_s
        self.streams_by_socket[sock] = stream
        code = sock.connect_ex((address.host, address.port))
        if code not in IN_PROGRESS and code != 0:
            self.close_later(
                stream, f"connect failed: {errno.errorcode.get(code, code)}"
            )
            return stream
        self._poller.addWriter(self, sock)
        return stream

    def close_later(self, stream: Stream, reason: str) -> None:
        """Report a loss from the event loop instead of from inside the call."""
        stream.connecting_until_s = 0.0
        stream.failure = reason

    def close_stream(self, stream: Stream, reason: str) -> None:
        """Close a connection and report it once.

        :param stream: The connection.
        :param reason: One short phrase.
        """
        if stream.closed:
            return
        stream.closed = True
        self.streams_by_socket.pop(stream.sock, None)
        self._poller.discard(stream.sock)
        stream.sock.close()
        stream._chunks.clear()
        stream.n_buffered_bytes = 0
        self.on_closed(stream, reason)

    def expire_connects(self, now: float) -> None:
        """Give up connection attempts whose time is over.

        :param now: Clock reading in seconds.
        """
        for stream in list(self.streams_by_socket.values()):
            until_s = stream.connecting_until_s
            if until_s is not None and now >= until_s:
                self.close_stream(stream, stream.failure)

    def watch_readable(self, stream: Stream) -> None:
        """Ask the poller for readable events."""
        self._poller.addReader(self, stream.sock)

    def unwatch_readable(self, stream: Stream) -> None:
        """Ask the poller for no more readable events."""
        self._poller.removeReader(stream.sock)

    def watch_writable(self, stream: Stream) -> None:
        """Ask the poller for writable events."""
        if stream.connecting_until_s is None:
            self._poller.addWriter(self, stream.sock)

    def unwatch_writable(self, stream: Stream) -> None:
        """Ask the poller for no more writable events."""
        if self._poller.isWriting(stream.sock):
            self._poller.removeWriter(stream.sock)

    @handler("_read")
    def _on_read(self, sock):
        if sock in self._listeners:
            self._accept(sock)
            return
        stream = self.streams_by_socket.get(sock)
        if stream is None or stream.paused:
            return
        if stream.connecting_until_s is not None:
            self._finish_connect(stream)
            return
        try:
            data = sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close_stream(stream, f"receive failed: {error.strerror}")
            return
        if data:
            self.on_bytes(stream, data)
        else:
            self.close_stream(stream, "closed by peer")

    @handler("_write")
    def _on_write(self, sock):
        stream = self.streams_by_socket.get(sock)
        if stream is None:
            return
        if stream.connecting_until_s is not None:
            self._finish_connect(stream)
            return
        was_congested = stream.congested
        stream.flush()
        if was_congested and not stream.congested and not stream.closed:
            self.on_drained(stream)

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *_):
        stream = self.streams_by_socket.get(sock)
        if stream is not None:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            name = errno.errorcode.get(code, "hang-up")
            self.close_stream(stream, f"connection failed: {name}")

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, peer = listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.keepalive is not None:
            self.keepalive.apply(sock)
        stream = Stream(self, sock, Address(*peer[:2]))
        self.streams_by_socket[sock] = stream
        self._poller.addReader(self, sock)
        self.on_accepted(stream)

    def _finish_connect(self, stream: Stream) -> None:
        code = stream.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            name = errno.errorcode.get(code, str(code))
            self.close_stream(stream, f"connect failed: {name}")
            return
        stream.connecting_until_s = None
        self._poller.removeWriter(stream.sock)
        self._poller.addReader(self, stream.sock)
        if stream._chunks:
            self.watch_writable(stream)
        self.on_connected(stream)
