"""Replays traces recorded from a running fleet and checks their expected outcomes."""

import json
from pathlib import Path

import pytest

from heatherspur.replay import TraceError, TraceWriter, record_calls, replay_trace
from heatherspur.routing import PeerSample, RoutingSettings, TargetEjector

TRACES = sorted((Path(__file__).parent / "traces").glob("*.jsonl"))
SETTINGS = RoutingSettings(0.0, 3.0, 4.0, 3, 20)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_recorded_trace_meets_its_expectations(path):
    lines = path.read_text("utf-8").splitlines()
    report = replay_trace(lines)
    assert report.failures == ()
    assert report == replay_trace(lines)
    assert report.n_calls > 100


def test_traces_exist():
    assert len(TRACES) >= 3


def _record_trace(tmp_path) -> list[str]:
    """Record the ejection of a target; return the lines of the trace."""
    path = tmp_path / "trace.jsonl"
    arguments = ("s", "t", "swift", SETTINGS, 0.0)
    writer = TraceWriter(str(path))
    ejector = record_calls(TargetEjector(*arguments), "ejector:t", arguments, writer)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 0.0, 50) for i in range(3))
    ejector.tick((), 1.0)
    for i in range(10):
        ejector.note(100.0, False, 1.1 + i / 10)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 0.0, 90) for i in range(3))
    ejector.tick((), 2.2)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 0.0, 120) for i in range(3))
    ejector.tick((), 2.4)
    ejector.answer(1, True, 2.5)
    assert ejector.state == "ejected"
    return path.read_text("utf-8").splitlines()


def test_replay_reproduces_the_recorded_calls(tmp_path):
    lines = _record_trace(tmp_path)
    expectation = {"expect": "state", "target": "t", "state": "ejected"}
    good = json.dumps({**expectation, "after_s": 2.0, "before_s": 3.0})
    report = replay_trace([*lines, good])
    assert report.passed
    assert report.n_changed == 0


@pytest.mark.parametrize(
    "expectation",
    [
        {"expect": "state", "target": "t", "state": "ejected", "after_s": 0,
         "before_s": 1},
        {"expect": "never", "state": "ejected"},
        {"expect": "count", "type": "StateChanged", "min": 50},
    ],
)  # fmt: skip
def test_unmet_expectation_is_reported(tmp_path, expectation):
    report = replay_trace([*_record_trace(tmp_path), json.dumps(expectation)])
    assert not report.passed
    assert len(report.failures) == 1


def test_trace_without_expectations_does_not_pass(tmp_path):
    assert not replay_trace(_record_trace(tmp_path)).passed


@pytest.mark.parametrize(
    "line",
    [
        "no json",
        "[]",
        '{"core":"x","new":"What","args":[]}',
        '{"core":"x","call":"tick","args":[],"out":[]}',
        '{"expect":"what"}',
        "{}",
    ],
)
def test_invalid_trace_is_rejected_with_its_line_number(line):
    with pytest.raises(TraceError, match="line 2"):
        replay_trace(["# comment", line])
