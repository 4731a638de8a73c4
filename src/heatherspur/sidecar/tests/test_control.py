"""Requests at the listener for target reports and readiness checks."""

import json

import pytest

from heatherspur.dispatch.departures import Departure
from heatherspur.net.tests.builders import FakeStream
from heatherspur.platform.tests.builders import make_report
from heatherspur.sidecar.control import ACKNOWLEDGEMENT_TIMEOUT_S, ControlServer

BORN = 1700000000000


class _Control:
    """A control server; the test plays the target and the store."""

    def __init__(self) -> None:
        self.server = ControlServer("permits", lambda: True, lambda: (b"", ""), 1.5)
        self.heard = []
        self.server.fire = lambda event, *_: self.heard.append(event.args)
        self.stream = FakeStream(self.server, None)
        self.server.on_accepted(self.stream)

    def send(self, call: str, body: bytes) -> bytes:
        """Send a report; return the answers that were sent so far."""
        head = b"POST /instances/t1/%s HTTP/1.1\r\nHost: x\r\n" % call.encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.server.on_bytes(self.stream, head + length + body)
        return self.stream.sent

    def statuses(self) -> list[int]:
        parts = self.stream.sent.split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]


def _make_draining(sequence: int) -> bytes:
    report = json.loads(make_report("status", "state", value="draining"))
    report["status"]["sequence"] = sequence
    return json.dumps(report).encode()


def test_departure_is_acknowledged_when_the_store_holds_it():
    control = _Control()
    control.server._on_members_read()
    control.send("heartbeat", make_report())
    control.send("heartbeat", _make_draining(5))
    assert control.statuses() == [200]
    departure = Departure("t1", BORN, 5, False)
    assert control.heard[-1][1] == departure
    control.send("heartbeat", _make_draining(6))
    control.server._on_departure_recorded(departure)
    control.send("heartbeat", _make_draining(7))
    assert control.statuses() == [200, 200, 200, 200]


def test_departure_that_is_not_recorded_in_time_is_not_acknowledged():
    control = _Control()
    control.server._on_members_read()
    control.send("deregister", b"")
    assert control.statuses() == []
    control.server._on_tick(float("inf"))
    assert control.statuses() == [503]
    assert ACKNOWLEDGEMENT_TIMEOUT_S < 1.0


def test_report_takes_effect_after_the_departure_in_the_store_is_known():
    """A report that was sent before the departure must not reopen the target."""
    control = _Control()
    control.send("heartbeat", make_report())
    assert control.statuses() == [200]
    assert not control.heard
    control.server._on_departure_recorded(Departure("t1", BORN, 9, True))
    control.server._on_members_read()
    assert [args[0].gone for args in control.heard] == [True]


@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
def test_report_of_a_start_that_is_not_followed_is_not_acknowledged(call):
    """It was, although the target that had sent it went on getting requests."""
    control = _Control()
    control.server._on_members_read()
    control.send("heartbeat", make_report())
    control.send(call, make_report("born", value=BORN - 2000))
    assert control.statuses() == [200, 503]


def test_many_pipelined_requests_are_answered_in_one_read():
    """Each pipelined request took stack frames, and a read of 64 KB holds 2,000."""
    server = ControlServer("permits", lambda: True, lambda: (b"", "text/plain"), 1.5)
    stream = FakeStream(server, None)
    server.on_accepted(stream)
    server.on_bytes(stream, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 2000)
    assert stream.sent.count(b"HTTP/1.1 200") == 2000
