"""An exit without sockets, responses of its target, and records of other writers."""

import cbor2

from heatherspur.dispatch.nested_calls import NestedCalls
from heatherspur.dispatch.tests.builders import (
    make_fleet,
    make_settings,
    make_target_report,
)
from heatherspur.link import messages as m
from heatherspur.net.tests.builders import FakeStream, fake_connections
from heatherspur.sidecar.exit import SidecarExit
from heatherspur.sidecar.metrics import SidecarMetrics

__all__ = ["ODD_MEMBERS", "ExitHarness", "make_execute", "make_response"]

LEFT_MS = 5000
OUTCOMES = (m.Answer, m.Failed, m.NotRun)


def _make_odd_member(position: int, field) -> bytes:
    fields = ["10.0.0.2:80", "a", "permits", "t2", 1000, 3, True]
    fields[position] = field
    return cbor2.dumps(fields)


# Values of records that name no member, by what is odd about them.
ODD_MEMBERS = {
    "a number as node": _make_odd_member(0, 7),
    "a name as node": _make_odd_member(0, "host:80"),
    "a port out of range": _make_odd_member(0, "10.0.0.2:70000"),
    "port 0": _make_odd_member(0, "10.0.0.2:0"),
    "a long zone": _make_odd_member(1, "z" * 3000),
    "no service": _make_odd_member(2, ""),
    "an infinite start": _make_odd_member(4, float("inf")),
    "a start that is too large": _make_odd_member(4, 10**30),
    "a negative start": _make_odd_member(4, -1),
    "too many slots": _make_odd_member(5, 10**30),
    "no slots": _make_odd_member(5, 0),
    "a number as state": _make_odd_member(6, 1),
    "deeply nested": b"\x81" * 3000 + b"\x00",
    "nested as deeply as is decoded": _make_odd_member(3, [[[[["t2"]]]]]),
    "a map": cbor2.dumps({"node": "10.0.0.2:80"}),
    "one field less": cbor2.dumps(["10.0.0.2:80"]),
    "no CBOR": b"\xff\xff",
    "a large value": cbor2.dumps(["x" * 200_000]),
}


class _RecordingLink:
    serial = 1
    node = "10.0.0.2:80"
    incarnation = "i"
    is_entry = False

    def __init__(self) -> None:
        self.messages: list[m.Message] = []

    def send(self, message: m.Message) -> None:
        self.messages.append(message)


def make_execute(number: int, attempt_id: bytes, idempotent: bool) -> m.Execute:
    """Return a request that was granted a slot."""
    method = "GET" if idempotent else "POST"
    fields = ((b"host", b"a.example"),)
    return m.Execute(
        number,
        attempt_id,
        method,
        "/a/1",
        fields,
        b"",
        "inn",
        "web",
        LEFT_MS,
        idempotent,
    )


def make_response(
    attempt_id: bytes,
    body: bytes = b"whole answer",
    status: int = 200,
    framing: str = "length",
    refused: bool = False,
) -> bytes:
    """Return the bytes of a target's response.

    :param attempt_id: Id that it repeats; empty for none.
    :param body: The body.
    :param status: Status code.
    :param framing: ``"length"``, ``"chunked"`` or ``"none"``.
    :param refused: Whether it states that the request was not run.
    """
    lines = [b"HTTP/1.1 %d Status" % status]
    if attempt_id:
        lines.append(b"Heatherspur-Attempt-Id: " + attempt_id)
    if refused:
        lines.append(b"Heatherspur-Not-Executed: 1")
    else:
        lines.append(b"Heatherspur-Response-Signature: 3e1b.07")
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
        pieces = (body[i : i + 5] for i in range(0, len(body), 5))
        chunks = (b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        body = b"".join(chunks) + b"0\r\n\r\n"
    return b"\r\n".join([*lines, b"", b""]) + body


class ExitHarness:
    """An exit with one entry; the test plays the target.

    :param slots: Number of requests that the target runs concurrently.
    """

    def __init__(self, slots: int = 3) -> None:
        settings = make_settings()
        self.exit = SidecarExit(settings, make_fleet(), SidecarMetrics(), NestedCalls())
        self.streams = fake_connections(self.exit)
        self.link = _RecordingLink()
        self.exit._on_target_heard(make_target_report(slots=slots))

    def run(
        self, number: int, attempt_id: bytes, idempotent: bool = False
    ) -> FakeStream:
        """Send a request to the target.

        :param number: Number of its reservation.
        :param attempt_id: Id of the request.
        :param idempotent: Whether it is idempotent.
        :returns: The connection that carries it.
        """
        n_streams = len(self.streams)
        reserve = m.Reserve(
            number, "permits", 1, 1000, LEFT_MS, idempotent, False, 1, False, 7, 1
        )
        execute = make_execute(number, attempt_id, idempotent)
        self.exit._on_received(self.link, (reserve, execute))
        if len(self.streams) > n_streams:
            self.exit.on_connected(self.streams[-1])
        return next(
            stream
            for stream in self.streams
            if stream.context.request is not None
            and stream.context.request.key.number == number
        )

    def outcomes(self, number: int) -> list[m.Message]:
        """Return the outcomes that the entry was sent for a request.

        :param number: Number of its reservation.
        """
        messages = self.link.messages
        return [x for x in messages if isinstance(x, OUTCOMES) and x.number == number]

    def outcome(self, number: int) -> m.Message | None:
        """Return the only outcome of a request, or ``None`` if there is none yet.

        :param number: Number of its reservation.
        """
        outcomes = self.outcomes(number)
        assert len(outcomes) <= 1, outcomes
        return outcomes[0] if outcomes else None

    @property
    def n_busy(self) -> int:
        """Number of requests at the target."""
        return self.exit.n_open
