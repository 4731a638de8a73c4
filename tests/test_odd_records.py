"""Records and reports of another writer, which name no target; the others hold.

Real nodes, store and targets. An odd record stays in the store, so that it meets a
restarted node as well.
"""

import struct

import pytest

from heatherspur.sidecar.tests.builders import ODD_MEMBERS
from tests.standins.site import Site, make_report, wait_until

HOSTS = (("a", "permits"), ("a", "permits"), ("b", "permits"))
N_REQUESTS = 9
TIMEOUT_S = 5.0


@pytest.fixture
def site(tmp_path):
    with Site(tmp_path, HOSTS) as running:
        running.start()
        yield running


def _put(site, topic: str, key: str, value: bytes) -> None:
    record = bytes([len(key)]) + key.encode() + value
    body = struct.pack(">I", len(record)) + record
    url = f"http://{site.store}/log-append?topic={topic}&part=0"
    assert site.client.post(url, content=body).status_code == 200


def _statuses(site) -> list[int]:
    requests = (
        site.ask(site.hosts[i % len(site.hosts)], f"/read/{i}", timeout=TIMEOUT_S)
        for i in range(N_REQUESTS)
    )
    return [answer.status_code for answer in requests]


def test_odd_records_of_members_are_ignored_also_after_restarts(site):
    """One of them stopped the answers of a whole zone, and another all restarted nodes.

    The first node of a record was no address, so that each tick of the nodes that
    wanted to reach it ended; an infinite number ended the reading of all members.
    """
    for i, value in enumerate(ODD_MEMBERS.values()):
        _put(site, "keyed.members", f"another-{i}", value)
    _put(site, "keyed.members", f"departure/{site.hosts[0].name}", b"\xff")
    _put(site, "keyed.op", "another", b"[" * 3000)
    wait_until(lambda: site.logs().count("invalid record ignored") >= len(ODD_MEMBERS))
    assert _statuses(site) == [200] * N_REQUESTS
    for host in site.hosts:
        site.restart_node(host)
    for host in site.hosts:
        site.wait_ready(host)
        wait_until(lambda host=host: site.n_members(host) == len(site.hosts))
    assert _statuses(site) == [200] * N_REQUESTS


@pytest.mark.parametrize(
    "path, value",
    [
        (("born",), 2**62),
        (("status", "sequence"), 2**62),
        (("info", "slots"), 10**9),
        (("address",), "127.0.0.1:70000"),
        (("status", "state"), [[[[]]]]),
    ],
    ids=["start", "sequence", "slots", "port", "nested"],
)
def test_odd_report_does_not_replace_the_target(site, path, value):
    """A number that no later report exceeds kept out the target's own reports."""
    host = site.hosts[0]
    report = make_report(host, 1, 1)
    part = report
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    assert site.report(host, report) == 400
    assert _statuses(site) == [200] * N_REQUESTS
    assert site.n_members(host) == len(site.hosts)
