"""Replay of a trace and verification of its expected outcomes.

Lines that start with ``#`` are comments. A line ``{"expect": KIND, ...}`` states an
expected outcome. ``count`` limits the number of output messages of a type (``type``,
``min``, ``max``). ``state`` requires that a target enters a state between two times
(``target``, ``state``, ``after_s``, ``before_s``). ``never`` names a state that no
target, or only the given target, may enter.
"""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from heatherspur.exchange import ExitGate
from heatherspur.replay.codec import decode_value, encode_value
from heatherspur.replay.conf import TraceError
from heatherspur.routing import StateChanged, TargetEjector

__all__ = ["ReplayReport", "replay_trace"]

CORES_BY_NAME = {"ExitGate": ExitGate, "TargetEjector": TargetEjector}
TIMED_CALLS = frozenset(
    ("note", "answer", "restart_target", "tick", "arrive", "finish")
)


class ReplayReport(NamedTuple):
    """Result of a replay.

    :param passed: Whether all expected outcomes occurred.
    :param n_calls: Number of replayed calls.
    :param n_changed: Number of calls whose output differs from the recorded one.
    :param failures: One sentence for each expected outcome that did not occur.
    """

    passed: bool
    n_calls: int
    n_changed: int
    failures: tuple[str, ...]


class Output(NamedTuple):
    """Output message of a core.

    :param at_s: Time of the most recent call that has a time argument, in seconds.
    :param message: The message.
    """

    at_s: float
    message: Any


def _parse_lines(lines: Iterable[str]) -> Iterator[tuple[int, dict[str, Any]]]:
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            value = json.loads(line)
        except ValueError as error:
            raise TraceError(number, "not valid JSON") from error
        if not isinstance(value, dict):
            raise TraceError(number, "not a JSON object")
        yield number, value


class Replay:
    """Cores of one replay and their output messages."""

    def __init__(self) -> None:
        self._cores_by_name: dict[str, Any] = {}
        self.outputs: list[Output] = []
        self.n_calls = 0
        self.n_changed = 0
        self._now_s = 0.0

    def execute(self, number: int, line: dict[str, Any]) -> None:
        """Construct the core or make the call that a line describes.

        :param number: Number of the line, starting at 1.
        :param line: Content of the line.
        :raises TraceError: If the line is invalid.
        """
        try:
            arguments = decode_value(line["args"])
            if "new" in line:
                core = CORES_BY_NAME[line["new"]](*arguments)
                self._cores_by_name[line["core"]] = core
                return
            out = getattr(self._cores_by_name[line["core"]], line["call"])(*arguments)
        except (KeyError, TypeError, AttributeError) as error:
            raise TraceError(number, repr(error)) from error
        out = list(out) if isinstance(out, Iterator) else out
        self._store_output(line, arguments, out)

    def _store_output(self, line: dict[str, Any], arguments: tuple, out: Any) -> None:
        self.n_calls += 1
        self.n_changed += encode_value(out) != line["out"]
        if line["call"] in TIMED_CALLS:
            self._now_s = arguments[-1]
        if isinstance(out, list):
            self.outputs.extend(Output(self._now_s, message) for message in out)


def _count_failure(line: dict[str, Any], outputs: list[Output]) -> str | None:
    n_seen = sum(type(o.message).__name__ == line["type"] for o in outputs)
    if line.get("min", 0) <= n_seen <= line.get("max", n_seen):
        return None
    return f"{n_seen} of {line['type']}: expected {line.get('min', 0)} or more"


def _state_entries(line: dict[str, Any], outputs: list[Output]) -> Iterator[Output]:
    for output in outputs:
        message = output.message
        if not isinstance(message, StateChanged) or message.new != line["state"]:
            continue
        if line.get("target", message.target) == message.target:
            yield output


def _state_failure(line: dict[str, Any], outputs: list[Output]) -> str | None:
    times = [output.at_s for output in _state_entries(line, outputs)]
    if any(line["after_s"] <= at_s <= line["before_s"] for at_s in times):
        return None
    where = f"{line['target']} entered {line['state']} at {times}"
    return f"{where}: expected {line['after_s']} to {line['before_s']}"


def _never_failure(line: dict[str, Any], outputs: list[Output]) -> str | None:
    entered = next(_state_entries(line, outputs), None)
    if entered is None:
        return None
    return f"{entered.message.target} entered {line['state']} at {entered.at_s}"


CHECKS_BY_KIND = {
    "count": _count_failure,
    "state": _state_failure,
    "never": _never_failure,
}


def replay_trace(lines: Iterable[str]) -> ReplayReport:
    """Replay a trace and check its expected outcomes.

    :param lines: Lines of the trace.
    :returns: The report.
    :raises TraceError: If a line is invalid.
    """
    replay = Replay()
    expectations = []
    for number, line in _parse_lines(lines):
        if "expect" in line:
            if line["expect"] not in CHECKS_BY_KIND:
                raise TraceError(
                    number, f"unknown kind of expectation {line['expect']!r}"
                )
            expectations.append(line)
        else:
            replay.execute(number, line)
    checks = ((CHECKS_BY_KIND[e["expect"]], e) for e in expectations)
    results = (check(expectation, replay.outputs) for check, expectation in checks)
    failures = tuple(failure for failure in results if failure is not None)
    if not expectations:
        failures = ("the trace states no outcome",)
    return ReplayReport(not failures, replay.n_calls, replay.n_changed, failures)
