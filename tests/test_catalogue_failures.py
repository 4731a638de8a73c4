"""Tests of catalogue changes and keys while the log or a node fails.

The failures are outages of the log, lost replies, concurrent changes, expired records,
and nodes that are paused or cannot reach the log.
"""

import concurrent.futures
import json
import time

import httpx
import pytest

from heatherspur.core import parse_address
from heatherspur.platform import LogClient
from tests.standins.fleet import CATALOGUE, Fleet, get_json, wait_until

# Bounds on the time until every node applies a change and rejects a withdrawn key.
IN_FORCE_S = 4.0
WITHDRAWN_S = 5.0


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path, extra_flags=("--snapshot-interval-s=1",)) as running:
        running.start_nodes_with_targets()
        running.apply()
        running.wait_ready(n_targets=2)
        yield running


def _status(fleet, key, node=0):
    url = f"http://{fleet.nodes[node].callers}/permits"
    return httpx.get(url, headers={"heatherspur-key": key}, timeout=10).status_code


def _customer(name: str, rate: int) -> str:
    return f'[[customer]]\nid="{name}"\nowner="o"\nrate={rate}\nburst=9\n'


def test_lost_append_reply_changes_the_catalogue_once(fleet):
    """A change must not be applied twice if only the reply of its append is lost."""
    fleet.log_faults(lose_replies=1)
    fleet.apply(CATALOGUE + _customer("club", 7))
    shown = json.loads(fleet.command("catalogue", "get", "customer", "club").stdout)
    assert shown["customer"][0]["version"] == 1
    fleet.log_faults(lose_replies=1)
    key = fleet.grant("club")
    listed = json.loads(fleet.command("key", "list", "club").stdout)
    assert len(listed) == 1
    assert _status(fleet, key) == 200


def test_concurrent_change_is_rejected_and_names_the_accepted_one(fleet):
    """Two operators change the same entry; the second must not overwrite the first."""
    fleet.log_faults(
        hold_appends=2
    )  # both commands read before either append takes effect
    paths = []
    for rate in (5, 6):
        path = fleet.folder / f"race-{rate}.toml"
        path.write_text(_customer("club", rate))
        paths.append((rate, str(path)))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = list(
            pool.map(
                lambda item: fleet.command(
                    "catalogue",
                    "apply",
                    item[1],
                    f"--operator=op-{item[0]}",
                    "--log-timeout-s=30",
                    check=False,
                ),
                paths,
            )
        )
    assert sorted(result.returncode for result in results) == [0, 1]
    rejected = next(result for result in results if result.returncode == 1)
    assert "is in force" in rejected.stderr
    accepted_rate = 5 if results[0].returncode == 0 else 6
    assert f"by op-{accepted_rate} is in force" in rejected.stderr
    shown = json.loads(fleet.command("catalogue", "get", "customer", "club").stdout)
    assert shown["customer"][0]["rate"] == accepted_rate


def test_change_is_in_force_on_all_nodes_within_the_bound(fleet):
    fleet.apply(CATALOGUE + _customer("club", 7))
    key = fleet.grant("club")
    accepted = time.monotonic()
    for node in (0, 1):
        wait_until(lambda n=node: _status(fleet, key, n) == 200, IN_FORCE_S)
    assert time.monotonic() - accepted < IN_FORCE_S


def test_nodes_serve_and_a_new_node_joins_while_the_log_is_down(fleet):
    """A node that starts during an outage of the log reads the catalogue from peers."""
    key = fleet.grant("guides")
    fleet.log_faults(down=True)
    time.sleep(4)
    assert _status(fleet, key, 0) == 200
    peers = ",".join(node.link for node in fleet.nodes)
    third = fleet.start_node("a", None, f"--peers={peers}")
    fleet.wait_for(third, lambda s: s["catalogue"]["n_keys"] == 1)
    fleet.wait_for(third, lambda s: len(s["targets"]) == 2)
    wait_until(lambda: _status(fleet, key, 2) == 200)
    withdrawn = fleet.command("key", "withdraw", key, check=False)
    assert withdrawn.returncode == 3
    assert "may or may not be in the log" in withdrawn.stderr


def test_isolated_node_rejects_keyed_requests(fleet):
    """A node without log and peers cannot receive withdrawals, so it answers 503."""
    key = fleet.grant("guides")
    assert _status(fleet, key, 0) == 200
    fleet.log_faults(down=True)
    fleet.kill(fleet.nodes[1])
    wait_until(lambda: _status(fleet, key, 0) == 503, WITHDRAWN_S)
    fleet.log_faults(down=False)
    wait_until(lambda: _status(fleet, key, 0) == 200)


def test_withdrawal_reaches_a_node_that_cannot_reach_the_log(tmp_path):
    """The third node's log address refuses connections; a peer sends the change."""
    with Fleet(tmp_path) as fleet:
        fleet.start_nodes_with_targets()
        fleet.apply()
        fleet.wait_ready(n_targets=2)
        key = fleet.grant("guides")
        peers = fleet.nodes[0].link
        without_log = fleet.start_node(
            "b", None, f"--peers={peers}", "--log=127.0.0.1:9"
        )
        fleet.wait_for(without_log, lambda s: s["catalogue"]["n_keys"] == 1)
        wait_until(lambda: _status(fleet, key, 2) == 200)
        fleet.command("key", "withdraw", key, "--confirm-s=0")
        wait_until(lambda: _status(fleet, key, 2) == 401, WITHDRAWN_S)


def test_key_withdraw_names_the_nodes_that_did_not_confirm(fleet):
    key = fleet.grant("guides")
    fleet.pause(fleet.nodes[1])
    result = fleet.command("key", "withdraw", key, "--log-timeout-s=0.5")
    shown = json.loads(result.stdout)
    assert shown["not_confirmed"] == [fleet.nodes[1].link]
    assert shown["in_force"] == [fleet.nodes[0].link]
    fleet.wake(fleet.nodes[1])
    wait_until(lambda: _status(fleet, key, 1) == 401, WITHDRAWN_S)


def test_expired_records_are_replaced_by_a_snapshot(fleet):
    """A new node and a paused one must not depend on records that have expired.

    The log keeps only six records while twelve changes are made; both nodes rebuild
    the catalogue from a snapshot.
    """
    key = fleet.grant("guides")
    fleet.pause(fleet.nodes[1])
    offset = fleet.status(fleet.nodes[0])["catalogue"]["offset"]
    fleet.log_faults(retention=6)
    for number in range(12):
        fleet.apply(_customer(f"club-{number}", 5), "--confirm-s=0")
    wait_until(lambda: _has_usable_snapshot(fleet))
    fleet.wake(fleet.nodes[1])
    third = fleet.start_node("a")
    for node in (fleet.nodes[1], third):
        fleet.wait_for(node, lambda s: s["catalogue"]["offset"] > offset + 12)
        fleet.wait_for(node, lambda s: s["catalogue"]["n_keys"] == 1)
    wait_until(lambda: _status(fleet, key, 2) == 200)
    assert _status(fleet, key, 1) == 200
    shown = json.loads(fleet.command("catalogue", "get", "customer").stdout)
    assert len(shown["customer"]) == 14


def _has_usable_snapshot(fleet) -> bool:
    """Return whether the log holds a snapshot from which all later records remain."""
    oldest = get_json(fleet.log, "/oldest")["oldest"]
    client = LogClient(parse_address(fleet.log), "heatherspur", 2.0)
    records = [
        json.loads(record.value) for record in client.read(oldest).ok_value.records
    ]
    usable = [r for r in records if r["type"] == "snapshot" and r["offset"] >= oldest]
    return bool(usable)


def test_history_lists_the_operator_of_each_change(fleet):
    nodes = ",".join(node.ops for node in fleet.nodes)
    shown = json.loads(fleet.command("status", f"--nodes={nodes}").stdout)
    assert [s["zone"] for s in shown.values()] == ["a", "b"]
    fleet.command("catalogue", "withdraw", "customer", "inn", "--operator=ana")
    history = json.loads(fleet.command("catalogue", "history").stdout)
    last = [h for h in history if h["kind"] == "entry_withdraw"][-1]
    assert (last["operator"], last["subject"]) == ("ana", "inn")
