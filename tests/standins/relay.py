"""TCP relay on loopback that can stall, delay, slow down, mute or reset connections."""

import collections
import contextlib
import selectors
import socket
import struct
import threading
import time

READ_SIZE_BYTES = 65536
SLOW_STEP_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Relay:
    """Relays connections to one address in a thread of its own.

    :param upstream: ``host:port`` to which connections are relayed.
    """

    def __init__(self, upstream: str):
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self.to_stalled = False
        self.from_stalled = False
        self.delay_s = 0.0
        self.back_bytes_per_s = 0  # 0: unlimited
        self._reset_requested = False
        self._delayed: collections.deque = collections.deque()
        self._muted: set[socket.socket] = set()
        self._running = True
        self._thread = threading.Thread(target=self._loop, daemon=True)
        self._thread.start()

    def stall(self, to: bool = False, back: bool = False) -> None:
        """Stall the traffic to or from the upstream; without arguments, resume it."""
        self.to_stalled, self.from_stalled = to, back

    def drop(self) -> None:
        """Discard all data from the upstream on open connections, which stay open."""
        keys = list(self._selector.get_map().values())
        self._muted = {key.fileobj for key in keys if key.data and key.data[1]}

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        self._reset_requested = True

    def stop(self) -> None:
        self._running = False
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _loop(self) -> None:
        while self._running:
            if self._reset_requested:
                self._reset_requested = False
                self._reset_all()
            self._send_delayed()
            for key, _ in self._selector.select(0.005 if self._delayed else 0.02):
                if key.data is None:
                    self._accept()
                else:
                    self._forward(key.fileobj, *key.data)

    def _reset_all(self) -> None:
        for key in list(self._selector.get_map().values()):
            if key.data is not None:
                self._selector.unregister(key.fileobj)
                with contextlib.suppress(OSError):
                    key.fileobj.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                key.fileobj.close()

    def _send_delayed(self) -> None:
        while self._delayed and self._delayed[0][0] <= time.monotonic():
            _, sink, data = self._delayed.popleft()
            with contextlib.suppress(OSError):
                sink.sendall(data)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        try:
            far = socket.create_connection(self._upstream, 1)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(near, selectors.EVENT_READ, (far, True))
        self._selector.register(far, selectors.EVENT_READ, (near, False))

    def _forward(self, source, sink, is_towards: bool) -> None:
        if self.to_stalled if is_towards else self.from_stalled:
            threading.Event().wait(0.002)
            return
        data = b""
        with contextlib.suppress(OSError):
            size = READ_SIZE_BYTES
            if not is_towards and self.back_bytes_per_s:
                size = max(1, int(self.back_bytes_per_s * SLOW_STEP_S))
                time.sleep(SLOW_STEP_S)
            data = source.recv(size)
            if not is_towards and sink in self._muted:
                return
            if data and (self.delay_s or self._delayed):
                at_s = time.monotonic() + self.delay_s
                self._delayed.append((at_s, sink, data))
            else:
                sink.sendall(data)
        if not data:
            for sock in (source, sink):
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(sock)
                sock.close()
