"""A TCP relay on loopback that can stall either way, as a one-way cut does."""

import contextlib
import selectors
import socket
import threading

READ_SIZE_BYTES = 65536


class Relay:
    """Relays connections to one address.

    :param upstream: Where to.
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
        self._mute: set[socket.socket] = set()
        self._running = True
        self._thread = threading.Thread(target=self._loop, daemon=True)
        self._thread.start()

    def stall(self, to: bool = False, back: bool = False) -> None:
        """Stop bytes towards the upstream, or back from it."""
        self.to_stalled, self.from_stalled = to, back

    def drop(self) -> None:
        """Lose all that comes back on the present connections, which stay open."""
        keys = list(self._selector.get_map().values())
        self._mute = {key.fileobj for key in keys if key.data and key.data[1]}

    def stop(self) -> None:
        self._running = False
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _loop(self) -> None:
        while self._running:
            for key, _ in self._selector.select(0.02):
                if key.data is None:
                    self._accept()
                else:
                    self._pass(key.fileobj, *key.data)

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

    def _pass(self, source, sink, is_towards: bool) -> None:
        if self.to_stalled if is_towards else self.from_stalled:
            threading.Event().wait(0.002)
            return
        data = b""
        with contextlib.suppress(OSError):
            data = source.recv(READ_SIZE_BYTES)
            if not is_towards and sink in self._mute:
                return
            sink.sendall(data)
        if not data:
            for sock in (source, sink):
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(sock)
                sock.close()
