"""TCP listeners and connections with bounded buffers.

``circuits.net`` reads without a bound and can't pause a connection. Therefore,
:class:`StreamHub` manages its sockets itself and uses only the circuits poller. This
provides backpressure: reading from a peer can pause while the receiver of its data is
slow.
"""

import errno
import socket
from collections import deque
from typing import Any, NamedTuple

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from heatherspur.core import Address, now_s

__all__ = ["Keepalive", "Stream", "StreamHub"]

DEFAULT_READ_SIZE_BYTES = 65536
HIGH_WATER_BYTES = 262144
LISTEN_BACKLOG = 1024
CONNECT_IN_PROGRESS_CODES = {errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN}


class Keepalive(NamedTuple):
    """TCP keepalive options, after which the kernel drops an unresponsive connection.

    :param idle_s: Idle time before the first probe, in whole seconds.
    :param interval_s: Interval between probes, in whole seconds.
    :param n_probes: Number of unanswered probes after which the connection is dropped.
    :param unacked_ms: Time after which unacknowledged data drops the connection, in
        milliseconds.
    """

    idle_s: int
    interval_s: int
    n_probes: int
    unacked_ms: int

    def apply(self, sock: socket.socket) -> None:
        """Set the keepalive options of a socket.

        :param sock: The socket.
        """
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, self.n_probes)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, self.unacked_ms)


class Stream:
    """One TCP connection with a send buffer; owned by the hub that created it.

    The attribute ``context`` holds data that the hub associates with the connection.

    :param hub: The owner.
    :param sock: Non-blocking socket.
    :param peer: Address of the peer.
    """

    def __init__(self, hub: "StreamHub", sock: socket.socket, peer: Address) -> None:
        self.hub = hub
        self.sock = sock
        self.peer = peer
        self.context: Any = None
        self.connect_deadline_s: float | None = None
        self.connect_failure_reason = "connect timed out"
        self.closed = False
        self.closing = False
        self.paused = False
        self.n_buffered_bytes = 0
        self._send_buffer: deque[memoryview] = deque()

    @property
    def congested(self) -> bool:
        """Whether the send buffer exceeds its high-water mark."""
        return self.n_buffered_bytes > HIGH_WATER_BYTES

    def write(self, data: bytes) -> None:
        """Send bytes, and buffer those that can't be sent yet.

        :param data: The bytes; discarded if the connection is closed.
        """
        if self.closed or not data:
            return
        view = memoryview(data)
        if not self._send_buffer and self.connect_deadline_s is None:
            view = view[self._send(view) :]
            if self.closed or not view:
                return
        if not self._send_buffer:
            self.hub.watch_writable(self)
        self._send_buffer.append(view)
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
        """Send buffered bytes until the socket would block."""
        while self._send_buffer and not self.closed:
            view = self._send_buffer[0]
            n_sent = self._send(view)
            if self.closed:
                return
            self.n_buffered_bytes -= n_sent
            if n_sent < len(view):
                self._send_buffer[0] = view[n_sent:]
                return
            self._send_buffer.popleft()
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
        """Resume reading from the peer."""
        if self.paused and not self.closed:
            self.paused = False
            self.hub.watch_readable(self)

    def close(self) -> None:
        """Close the connection after all buffered bytes are sent."""
        self.closing = True
        if not self._send_buffer and not self.closed:
            self.hub.close_stream(self, "closed here")

    def abort(self) -> None:
        """Close immediately with a TCP reset, so that the peer detects the abort."""
        if self.closed:
            return
        # struct linger: enabled, with a timeout of 0 s.
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.hub.close_stream(self, "aborted here")


class StreamHub(BaseComponent):
    """A component that owns listeners and connections.

    Subclasses override the ``on_`` methods. Only the hub and its streams access the
    sockets.

    :cvar keepalive: Options to detect unresponsive peers, or ``None`` for the kernel's
        defaults.
    :cvar read_size_bytes: Most bytes to receive before other connections have a turn.
    """

    keepalive: Keepalive | None = None
    read_size_bytes = DEFAULT_READ_SIZE_BYTES

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        self.streams_by_socket: dict[socket.socket, Stream] = {}
        self._listeners: list[socket.socket] = []
        self._poller: BasePoller | None = None

    @property
    def n_unsent(self) -> int:
        """Number of connections with bytes that are not sent yet."""
        streams = self.streams_by_socket.values()
        return sum(stream.n_buffered_bytes > 0 for stream in streams)

    def on_accepted(self, stream: Stream) -> None:
        """Handle a new connection that a peer opened."""

    def on_connected(self, stream: Stream) -> None:
        """Handle a connection that :meth:`connect` has established."""

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Handle bytes received from the peer."""

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the end of a connection, whether closed locally or by the peer."""

    def on_drained(self, stream: Stream) -> None:
        """Handle a send buffer that is no longer above its high-water mark."""

    def attach(self, poller: BasePoller) -> None:
        """Set the poller.

        :param poller: The poller that is registered with the root component.
        """
        self._poller = poller

    def listen(self, address: Address) -> Address:
        """Open a listener.

        :param address: Address to bind; with port 0, the kernel selects a port.
        :returns: The bound address.
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
        """Close the listeners; established connections stay open."""
        for sock in self._listeners:
            self._poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def connect(self, address: Address, timeout_s: float, context: Any) -> Stream:
        """Start to open a connection without blocking.

        :param address: Address of the peer.
        :param timeout_s: Timeout of the attempt, in seconds.
        :param context: Stored as ``stream.context``.
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
        stream.connect_deadline_s = now_s() + timeout_s
        self.streams_by_socket[sock] = stream
        code = sock.connect_ex((address.host, address.port))
        if code not in CONNECT_IN_PROGRESS_CODES and code != 0:
            self.close_later(
                stream, f"connect failed: {errno.errorcode.get(code, code)}"
            )
            return stream
        self._poller.addWriter(self, sock)
        return stream

    def close_later(self, stream: Stream, reason: str) -> None:
        """Let the next :meth:`expire_connects` close a failed connection attempt.

        This calls :meth:`on_closed` only after :meth:`connect` has returned the stream.

        :param stream: The connection.
        :param reason: One short phrase.
        """
        stream.connect_deadline_s = 0.0
        stream.connect_failure_reason = reason

    def close_stream(self, stream: Stream, reason: str) -> None:
        """Close a connection and call :meth:`on_closed`; do nothing if it is closed.

        :param stream: The connection.
        :param reason: One short phrase.
        """
        if stream.closed:
            return
        stream.closed = True
        self.streams_by_socket.pop(stream.sock, None)
        self._poller.discard(stream.sock)
        stream.sock.close()
        stream._send_buffer.clear()
        stream.n_buffered_bytes = 0
        self.on_closed(stream, reason)

    def expire_connects(self, now: float) -> None:
        """Close connection attempts whose deadline has passed.

        :param now: Clock reading in seconds.
        """
        for stream in list(self.streams_by_socket.values()):
            deadline_s = stream.connect_deadline_s
            if deadline_s is not None and now >= deadline_s:
                self.close_stream(stream, stream.connect_failure_reason)

    def watch_readable(self, stream: Stream) -> None:
        """Enable readable events of a connection."""
        self._poller.addReader(self, stream.sock)

    def unwatch_readable(self, stream: Stream) -> None:
        """Disable readable events of a connection."""
        self._poller.removeReader(stream.sock)

    def watch_writable(self, stream: Stream) -> None:
        """Enable writable events of a connection; ignored while it is connecting."""
        if stream.connect_deadline_s is None:
            self._poller.addWriter(self, stream.sock)

    def unwatch_writable(self, stream: Stream) -> None:
        """Disable writable events of a connection."""
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
        if stream.connect_deadline_s is not None:
            self._finish_connect(stream)
            return
        try:
            data = sock.recv(self.read_size_bytes)
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
        if stream.connect_deadline_s is not None:
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
        stream.connect_deadline_s = None
        self._poller.removeWriter(stream.sock)
        self._poller.addReader(self, stream.sock)
        if stream._send_buffer:
            self.watch_writable(stream)
        self.on_connected(stream)
