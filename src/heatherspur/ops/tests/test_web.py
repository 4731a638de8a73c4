"""Operations listener: clients that disconnect before the response."""

import socket

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.net.events import write

from heatherspur.core import Address
from heatherspur.ops.web import OpsServer


class _Root(BaseComponent):
    """Collects the errors of all handlers."""

    def __init__(self):
        super().__init__()
        self.errors = []

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, *_, **__):
        self.errors.append(value)


def test_response_to_a_closed_connection_is_discarded():
    """An operator's request that timed out under load made the node log an error."""
    root = _Root()
    EPoll().register(root)
    OpsServer(Address("127.0.0.1", 0), dict, lambda: (b"", "")).register(root)
    for _ in range(10):
        root.tick(0)
    gone = socket.socket()
    gone.close()
    root.fire(write(gone, b"HTTP/1.1 200 OK"), "web")
    for _ in range(10):
        root.tick(0)
    assert root.errors == []
