"""Tests of reported outcomes and at-most-once execution under failures.

Node processes are killed, paused or stopped, and targets fail in several ways. The
entry is the node that receives a request, the exit the node beside the target that runs
it. The outcome ``not-run`` promises that no target ran the request; ``unknown`` means
that one may have.
"""

import signal
import threading
import time
import uuid

import httpx
import pytest

from tests.standins.fleet import Fleet, wait_until

TIMEOUT_S = 15.0


@pytest.fixture
def fleet(tmp_path):
    """Start two nodes; only the second has a target, so requests cross a link."""
    with Fleet(tmp_path) as running:
        entry, exit_ = running.start_node("a"), running.start_node("b")
        for node in (entry, exit_):
            running.wait_for(node, lambda status: True)
        running.start_target("far", "permits", exit_, "--service-s=0.02")
        running.apply()
        running.wait_ready(n_targets=1)
        running.key = running.grant("guides")
        yield running


class Call(threading.Thread):
    """A request that runs in a thread and records its status and outcome."""

    def __init__(self, fleet, method="POST", path="/permits", node=0):
        super().__init__(daemon=True)
        self.id = uuid.uuid4().hex
        self.url = f"http://{fleet.nodes[node].callers}{path}"
        self.method = method
        self.fields = {"heatherspur-key": fleet.key, "x-request-id": self.id}
        self.outcome = ""
        self.status = 0
        self.start()

    def run(self):
        try:
            answer = httpx.request(
                self.method, self.url, headers=self.fields, timeout=TIMEOUT_S
            )
            self.status = answer.status_code
            self.outcome = answer.headers["heatherspur-outcome"]
        except httpx.HTTPError as error:
            self.outcome = f"broken: {type(error).__name__}"

    def result(self) -> str:
        self.join(TIMEOUT_S + 5)
        assert self.outcome
        return self.outcome


def _count_runs(fleet, call, target="far") -> int:
    return fleet.seen(target)["runs"].get(call.id, 0)


def _runs_on_all_targets(fleet, call) -> int:
    return sum(_count_runs(fleet, call, target) for target in fleet.targets_by_name)


def test_outcome_is_unknown_when_the_exit_is_killed_after_dispatch(fleet):
    fleet.control("far", service_s=1.0)
    call = Call(fleet)
    wait_until(lambda: _count_runs(fleet, call) == 1)
    fleet.kill(fleet.nodes[1])
    assert call.result() == "unknown"
    assert _count_runs(fleet, call) == 1


def test_outcome_is_unknown_when_the_exit_is_paused_after_dispatch(fleet):
    fleet.control("far", service_s=1.0)
    call = Call(fleet)
    wait_until(lambda: _count_runs(fleet, call) == 1)
    fleet.pause(fleet.nodes[1])
    assert call.result() == "unknown"
    fleet.wake(fleet.nodes[1])
    time.sleep(1)
    assert _count_runs(fleet, call) == 1


def test_resumed_exit_does_not_run_an_expired_request(fleet):
    """A request that waits in the sockets of a paused node must not run later."""
    fleet.pause(fleet.nodes[1])
    call = Call(fleet)
    assert call.result() in ("unknown", "not-run")
    time.sleep(3.5)
    fleet.wake(fleet.nodes[1])
    time.sleep(1.5)
    assert _count_runs(fleet, call) == 0


def test_resumed_entry_sends_no_request_twice(fleet):
    fleet.control("far", service_s=0.5)
    calls = [Call(fleet) for _ in range(3)]
    wait_until(lambda: sum(_count_runs(fleet, call) for call in calls) >= 1)
    fleet.pause(fleet.nodes[0])
    time.sleep(4)
    fleet.wake(fleet.nodes[0])
    for call in calls:
        outcome, n_runs = call.result(), _count_runs(fleet, call)
        assert n_runs <= 1
        assert outcome != "not-run" or n_runs == 0


@pytest.mark.parametrize("mode", ["truncate", "close", "garbage"])
def test_broken_response_is_not_reported_as_complete(fleet, mode):
    """A POST whose response is cut off or invalid is not retried either."""
    fleet.control("far", mode=mode)
    call = Call(fleet)
    outcome = call.result()
    assert outcome == "unknown" or outcome.startswith("broken")
    assert _count_runs(fleet, call) == 1


def test_idempotent_request_is_retried_on_another_target(fleet):
    fleet.start_target("near", "permits", fleet.nodes[0], "--service-s=0.02")
    fleet.wait_ready(n_targets=2)
    fleet.control("far", mode="close")
    outcomes = [Call(fleet, "GET", node=i % 2).result() for i in range(8)]
    assert outcomes == ["answered"] * 8


def test_shed_post_runs_once_on_another_target(fleet):
    """A target that sheds a request did not run it, so a POST can be retried."""
    fleet.start_target("near", "permits", fleet.nodes[0], "--service-s=0.02")
    fleet.wait_ready(n_targets=2)
    fleet.control("far", mode="shed")
    calls = [Call(fleet, node=i % 2) for i in range(8)]
    assert [call.result() for call in calls] == ["answered"] * 8
    assert [_count_runs(fleet, call, "near") for call in calls] == [1] * 8
    assert [_count_runs(fleet, call) for call in calls] == [0] * 8


def test_disconnected_caller_cancels_its_request(fleet):
    fleet.control("far", service_s=5.0)
    with pytest.raises(httpx.ReadTimeout):
        httpx.post(
            f"http://{fleet.nodes[0].callers}/permits",
            headers={"heatherspur-key": fleet.key},
            timeout=0.5,
        )
    wait_until(lambda: fleet.seen("far")["n_cancelled"] == 1)


def test_no_target_receives_a_key_or_a_forged_customer(fleet):
    url = f"http://{fleet.nodes[0].callers}/permits"
    key = fleet.key
    with httpx.Client(timeout=TIMEOUT_S) as client:
        fields = [
            ("Heatherspur-Key", key),
            ("heatherspur-customer", "inn"),
            ("HEATHERSPUR-Anything", "x"),
            ("connection", "x-private"),
            ("x-private", "x"),
        ]
        assert client.get(url, headers=fields).status_code == 200
        for path, more in [
            (f"?key={key}", []),
            (f"?key={key.upper()}", []),
            ("?key=" + "".join(f"%{ord(c):02x}" for c in key), []),
            ("", [("x-copy", f"Bearer {key}")]),
            ("", [("heatherspur-key", key)]),
        ]:
            answer = client.get(url + path, headers=[("heatherspur-key", key), *more])
            assert answer.status_code == 400
    seen = fleet.seen("far")
    assert seen["n_requests"] == 1
    text = str(seen).lower()
    assert key.lower() not in text
    assert "heatherspur-customer: guides" in text
    assert "inn" not in text.replace("running", "")
    assert "x-private" not in text
    logs = "".join(path.read_text() for path in fleet.folder.glob("*.log"))
    assert key not in logs


@pytest.mark.parametrize("stopped", [0, 1])
def test_planned_stop_interrupts_no_request(fleet, stopped):
    """Stop the entry or an exit by SIGTERM under load and with slow requests."""
    fleet.start_target("near", "permits", fleet.nodes[0], "--service-s=0.05")
    third = fleet.start_node("a")
    fleet.start_target("third", "permits", third, "--service-s=0.05")
    fleet.wait_ready(n_targets=3)
    fleet.control("far", service_s=0.05)
    url = f"http://{fleet.nodes[0].callers}/permits"
    results, stop = [], threading.Event()

    def send_requests():
        with httpx.Client(timeout=TIMEOUT_S) as client:
            while not stop.is_set():
                try:
                    answer = client.post(url, headers={"heatherspur-key": fleet.key})
                    results.append(answer.headers["heatherspur-outcome"])
                except httpx.ConnectError:
                    return
                except httpx.HTTPError as error:
                    results.append(repr(error))
                time.sleep(0.02)

    threads = [threading.Thread(target=send_requests, daemon=True) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    for target in ("far", "near", "third"):
        fleet.control(target, service_s=2.5)
    long_calls = [Call(fleet) for _ in range(6)]
    wait_until(
        lambda: sum(_runs_on_all_targets(fleet, call) for call in long_calls) == 6
    )
    process = fleet.processes[fleet.nodes[stopped].link]
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
    assert [call.result() for call in long_calls] == ["answered"] * 6
    assert [_runs_on_all_targets(fleet, call) for call in long_calls] == [1] * 6
    stop.set()
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert len(results) > 30
    assert set(results) <= {"answered", "not-run"}
    assert results.count("not-run") <= len(results) * 0.01
