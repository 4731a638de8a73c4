import pytest

from heatherspur.catalogue import NodeRecord
from heatherspur.membership import (
    Dial,
    MembershipSettings,
    PeerTable,
    RemoveNode,
    TargetRegistry,
    parse_announcement,
)

SETTINGS = MembershipSettings((), 0.8, 2.0, 3.0, 10.0, 64)
GOOD = {"target": "t", "service": "s", "address": "127.0.0.1:1", "slots": 3}


def table(n_nodes=2) -> PeerTable:
    peers = PeerTable("me", SETTINGS)
    records = {f"n{i}": NodeRecord(f"n{i}", "1", "z", "ops") for i in range(n_nodes)}
    peers.update(records, 0.0)
    return peers


def test_a_peer_is_alive_only_while_both_directions_work():
    peers = table()
    peers.link_up("n0", "1", "z", 10.0)
    assert not peers.is_alive("n0", 10.1)
    peers.record_heartbeat("n0", 5.0, 10.0, 10.5)
    assert peers.is_alive("n0", 11.9)
    peers.record_heartbeat("n0", 7.0, 10.0, 12.4)
    assert not peers.is_alive("n0", 12.5)
    assert [p.node for p in peers.silent_peers(14.1)] == ["n0"]


def test_peers_are_dialled_with_backoff_and_removed_when_unreachable():
    peers = table(1)
    assert list(peers.tick(0.1)) == [Dial("n0")]
    assert list(peers.tick(0.2)) == []
    peers.link_down("n0", 0.3)
    assert list(peers.tick(0.4)) == []
    assert list(peers.tick(0.6)) == [Dial("n0")]
    peers.link_down("n0", 0.7)
    assert RemoveNode("n0", "1") in list(peers.tick(10.2))


def test_the_number_of_links_is_bounded():
    peers = PeerTable("me", SETTINGS._replace(max_links=8))
    records = {f"n{i}": NodeRecord(f"n{i}", "1", "z", "ops") for i in range(100)}
    peers.update(records, 0.0)
    assert len(peers.peers_by_id) == 8


def test_a_target_stays_registered_for_its_lease():
    registry = TargetRegistry()
    announcement = parse_announcement({**GOOD, "lease_s": 2}, "p").ok_value
    assert registry.announce(announcement, 0.0)[0].state == "ready"
    assert registry.announce(announcement, 1.0) == []
    assert list(registry.expire(2.9)) == []
    assert next(iter(registry.expire(3.0))).state == "gone"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("target", ""),
        ("target", 5),
        ("address", "host:1"),
        ("slots", 0),
        ("slots", True),
        ("state", "odd"),
        ("lease_s", 60),
        ("lease_s", float("nan")),
    ],
)
def test_an_invalid_announcement_is_rejected(name, value):
    result = parse_announcement({**GOOD, name: value}, "p")
    assert name in result.err_value.reason
