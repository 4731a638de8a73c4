"""Departures of a target that its node acknowledged, across restarts of the node.

Real nodes, store and targets. A report that is delayed by the network arrives at a
process that has no memory of the departure.
"""

import concurrent.futures
import signal
import time

import pytest

from tests.standins.site import KEY, Site, make_config, make_report, wait_until

MEMBERS_TOPIC = "keyed.members"
HOSTS = (("a", "permits"), ("a", "permits"))
# More than one target runs at a time, so that both are used if both are ready.
N_REQUESTS = 12
N_CALLERS = 6
SERVICE_S = 0.2
UNLIMITED = {"name": "inn", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}
# Longer than the interval between reports, after which a node would rely on reports
# that continue.
OUTAGE_S = 3.0
STOP_S = 6.0


@pytest.fixture
def site(tmp_path):
    with Site(tmp_path, HOSTS) as running:
        running.start(make_config(1, tenants=[UNLIMITED]))
        for host in running.hosts:
            running.control(host, service_s=SERVICE_S)
        yield running


class _Target:
    """Sends the reports of the target of a host, in the place of the stand-in."""

    def __init__(self, site: Site, host) -> None:
        self.site, self.host = site, host
        self.born = int(time.time() * 1000)
        site.control(host, silent=True)
        assert site.report(host, make_report(host, self.born, 1)) == 200
        # Sent before the departure, delivered after it.
        self.late_report = make_report(host, self.born, 2)

    def leave(self, kind: str) -> int:
        """Announce the departure; return the status of the answer."""
        if kind == "draining":
            report = make_report(self.host, self.born, 3, "draining")
            return self.site.report(self.host, report)
        body = {"born": self.born, "status": {"sequence": 3}}
        return self.site.report(self.host, body, "deregister")

    def deliver_late_report(self) -> None:
        self.site.report(self.host, self.late_report)

    @property
    def n_runs(self) -> int:
        return sum(self.site.control(self.host)["runs"].values())


def _ask_other(site, n_requests: int = N_REQUESTS) -> list[int]:
    """Send requests to the second node at the same time; return the statuses."""
    with concurrent.futures.ThreadPoolExecutor(N_CALLERS) as pool:
        asked = [
            pool.submit(site.ask, site.hosts[1], f"/read/{i}")
            for i in range(n_requests)
        ]
        return [answer.result().status_code for answer in asked]


@pytest.mark.parametrize("kind", ["draining", "deregistered"])
def test_late_report_after_a_restart_does_not_revert_a_departure(site, kind):
    """A killed node forgot the departure, and a delayed heartbeat reopened the target.

    It then received requests until it exited, long after its departure was
    acknowledged.
    """
    host = site.hosts[0]
    target = _Target(site, host)
    assert target.leave(kind) == 200
    site.restart_node(host)
    wait_until(lambda: site.is_ready(host))
    target.deliver_late_report()
    before = target.n_runs
    assert _ask_other(site) == [200] * N_REQUESTS
    assert target.n_runs == before
    assert "departure of the target restored" in site.logs()


def test_departure_is_acknowledged_only_when_the_store_holds_it(site):
    """Otherwise a restart after the acknowledgement would lose it."""
    host = site.hosts[0]
    target = _Target(site, host)
    site.store_faults(down=True)
    before = target.n_runs
    assert target.leave("deregistered") == 503
    assert _ask_other(site) == [200] * N_REQUESTS
    assert target.n_runs == before
    site.store_faults(down=False)
    wait_until(lambda: target.leave("deregistered") == 200, 10)
    assert f"departure/{host.name}" in site.newest_keys(MEMBERS_TOPIC)


def test_late_report_during_an_outage_does_not_revert_a_departure(site):
    """A node that can't read its record yet must not rely on one delayed report."""
    host = site.hosts[0]
    target = _Target(site, host)
    assert target.leave("deregistered") == 200
    site.store_faults(down=True)
    site.restart_node(host)
    wait_until(lambda: target.site.report(host, target.late_report) == 200)
    before = target.n_runs
    until_s = time.monotonic() + OUTAGE_S
    while time.monotonic() < until_s:
        assert _ask_other(site) == [200] * N_REQUESTS
    site.store_faults(down=False)
    wait_until(lambda: "departure of the target restored" in site.logs())
    assert _ask_other(site) == [200] * N_REQUESTS
    assert target.n_runs == before


def test_target_that_continues_to_report_serves_during_an_outage(site):
    """A restarted node does not wait for the store if its target is evidently ready."""
    host, other = site.hosts
    site.control(other, state="draining")
    wait_until(lambda: '"ready":false' in site.logs())
    site.store_faults(down=True)
    site.restart_node(host)
    before = sum(site.control(host)["runs"].values())
    wait_until(lambda: 200 in _ask_other(site, 1), 15)
    assert sum(site.control(host)["runs"].values()) > before


def test_next_start_of_the_target_serves_after_a_departure(site):
    """The record of the former start must not keep out its successor."""
    host = site.hosts[0]
    target = _Target(site, host)
    assert target.leave("deregistered") == 200
    site.restart_node(host)
    wait_until(lambda: site.is_ready(host))
    successor = make_report(host, target.born + 1000, 1)
    assert site.report(host, successor) == 200
    before = target.n_runs
    wait_until(lambda: _ask_other(site) and target.n_runs > before, 10)
    site.restart_node(host)
    wait_until(lambda: site.is_ready(host))
    assert site.n_members(host) == len(site.hosts)


@pytest.mark.parametrize("has_ended", [True, False], ids=["ended", "running"])
def test_stopping_node_deletes_the_departure_of_an_ended_target(site, has_ended):
    """Records of hosts that were removed would accumulate in the store."""
    host = site.hosts[0]
    target = _Target(site, host)
    assert target.leave("deregistered") == 200
    if has_ended:
        process = site.processes_by_name[f"t-{host.name}"]
        process.kill()
        process.wait()
    site.signal(host, signal.SIGTERM)
    assert site.processes_by_name[host.name].wait(timeout=STOP_S) == 0
    is_kept = f"departure/{host.name}" in site.newest_keys(MEMBERS_TOPIC)
    assert is_kept != has_ended
