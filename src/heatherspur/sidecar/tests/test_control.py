"""Requests at the listener for target reports and readiness checks."""

from heatherspur.net.tests.builders import FakeStream
from heatherspur.sidecar.control import ControlServer


def test_many_pipelined_requests_are_answered_in_one_read():
    """Each pipelined request took stack frames, and a read of 64 KB holds 2,000."""
    server = ControlServer("permits", lambda: True, lambda: (b"", "text/plain"), 1.5)
    stream = FakeStream(server, None)
    server.on_accepted(stream)
    server.on_bytes(stream, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 2000)
    assert stream.sent.count(b"HTTP/1.1 200") == 2000
