"""The operators' listener and askers that go away."""

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


def test_answer_to_an_asker_that_is_gone_is_dropped():
    """Under load an operator's request timed out, and the node logged an error."""
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
