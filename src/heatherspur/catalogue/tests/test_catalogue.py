"""Folding: races, repeats, snapshots, and that nothing ever reverts."""

import random

from heatherspur.catalogue import (
    CatalogueReplica,
    CatalogueState,
    CustomerEntry,
    NodeRecord,
    Route,
    ServiceEntry,
    entry_put,
    entry_withdraw,
    key_grant,
    key_withdraw,
    node_join,
    snapshot,
)
from heatherspur.catalogue.replica import AskPeer
from heatherspur.catalogue.state import rebuild


def customer(name="c", rate=5.0) -> CustomerEntry:
    return CustomerEntry(name, "o", rate, 9)


def service(name="s", prefix="/p") -> ServiceEntry:
    routes = (Route(prefix, False, ("GET",)),)
    return ServiceEntry(name, "o", "steady", routes, 1000, 10, 0.5, 4, 1, 1)


def state_after(*records: str) -> CatalogueState:
    state = CatalogueState()
    for offset, record in enumerate(records):
        state.apply(offset, record)
    return state


def test_the_first_of_two_racing_changes_wins_and_the_loser_is_told():
    state = state_after(
        entry_put("a", "ana", customer(rate=1.0), 0),
        entry_put("b", "rui", customer(rate=2.0), 0),
    )
    assert state.customers_by_id["c"].rate == 1.0
    assert "version 1 by ana" in state.results_by_change_id["b"].outcome


def test_a_repeated_change_is_ignored():
    put = entry_put("a", "ana", customer(rate=1.0), 0)
    state = state_after(put, entry_put("b", "ana", customer(rate=2.0), 1), put)
    assert state.customers_by_id["c"].rate == 2.0
    assert state.version_of("customer", "c") == 2


def test_a_withdrawn_entry_keeps_its_version():
    state = state_after(
        entry_put("a", "ana", customer(), 0),
        entry_withdraw("b", "ana", "customer", "c", 1),
        entry_put("late", "rui", customer(), 0),
    )
    assert state.customers_by_id == {}
    assert not state.results_by_change_id["late"].accepted


def test_a_route_belongs_to_one_service():
    state = state_after(
        entry_put("a", "ana", service("s"), 0), entry_put("b", "rui", service("z"), 0)
    )
    assert "belongs to service 's'" in state.results_by_change_id["b"].outcome
    assert state.routes.find("/p/x?y").service == "s"
    assert state.routes.find("/pp") is None
    assert state.routes.find("/p/../q") is None


def test_broken_records_change_nothing_but_the_offset():
    state = state_after(
        "no json",
        "[1]",
        '{"type":"entry_put"}',
        '{"type":"entry_put","change_id":"x"}',
        '{"type":"what","change_id":"y"}',
    )
    assert state.offset == 5
    assert state.customers_by_id == {}
    assert "broken" in state.results_by_change_id["x"].outcome


def test_a_node_without_a_usable_address_is_refused():
    """Every node dials the nodes in force; one broken id stopped all their ticks."""
    state = state_after(
        node_join("a", NodeRecord("host:1", "i", "z", "o")),
        node_join("b", NodeRecord("127.0.0.1:1", "i", "z", "o")),
    )
    assert list(state.nodes_by_id) == ["127.0.0.1:1"]


def test_keys_come_and_go():
    digest = bytes(32)
    state = state_after(
        entry_put("a", "ana", customer(), 0), key_grant("g", "ana", digest, "c")
    )
    assert state.owners_by_digest[digest].customer == "c"
    state.apply(2, key_withdraw("w", "ana", digest))
    assert state.owners_by_digest == {}
    state.apply(3, key_grant("x", "ana", digest, "nobody"))
    assert not state.results_by_change_id["x"].accepted


def test_a_late_older_snapshot_takes_nothing_back():
    state = state_after(entry_put("a", "ana", customer(rate=1.0), 0))
    old = snapshot("snap", 1, state.dump())
    state.apply(1, entry_put("b", "ana", customer(rate=2.0), 1))
    state.apply(2, old)
    assert state.customers_by_id["c"].rate == 2.0
    assert not state.restore(1, state_after().dump())


class NaiveState(CatalogueState):
    """Naive: a snapshot always replaces the state."""

    def restore(self, offset, text):
        self.offset = 0
        return super().restore(offset, text)


def _history(seed: int) -> list[str]:
    """Return records of random changes, with snapshots old and new among them."""
    rng = random.Random(seed)
    state, records, dumps = CatalogueState(), [], []
    for i in range(80):
        if dumps and rng.random() < 0.15:
            offset, dump = rng.choice(dumps)
            record = snapshot(f"s{i}", offset, dump)
        else:
            version = state.version_of("customer", "c")
            replaces = version if rng.random() < 0.7 else rng.randrange(version + 1)
            record = entry_put(f"p{i}", "op", customer(rate=i + 1.0), replaces)
        if rng.random() < 0.1 and records:
            record = rng.choice(records)
        records.append(record)
        state.apply(i, record)
        dumps.append((state.offset, state.dump()))
    return records


def test_readers_that_start_anywhere_agree():
    for seed in range(30):
        records = _history(seed)
        whole = state_after(*records)
        rng = random.Random(seed)
        for _ in range(10):
            oldest = rng.randrange(1, 70)
            kept = list(enumerate(records))[oldest:]
            rebuilt = rebuild(kept)
            if rebuilt is not None:
                assert rebuilt.customers_by_id == whole.customers_by_id
                assert rebuilt.offset == whole.offset


def _reverts(kind, seed: int) -> bool:
    """Return whether a reader that is offered old states ever goes back."""
    records, state, newest = _history(seed), kind(), 0
    dumps = []
    for offset, record in enumerate(records):
        state.apply(offset, record)
        dumps.append((state.offset, state.dump()))
        old_offset, dump = random.Random(seed + offset).choice(dumps)
        state.restore(old_offset, dump)
        if state.version_of("customer", "c") < newest:
            return True
        newest = state.version_of("customer", "c")
    return False


def test_a_state_never_reverts():
    assert not any(_reverts(CatalogueState, seed) for seed in range(20))
    assert any(_reverts(NaiveState, seed) for seed in range(20))


def _replica_after(*records: str) -> CatalogueReplica:
    replica = CatalogueReplica(100.0, 3.0)
    replica.apply_log_answer(tuple(enumerate(records)), len(records), 100.0)
    return replica


def test_an_isolated_keeper_takes_no_keys():
    replica = _replica_after(entry_put("a", "ana", customer(), 0))
    assert replica.can_admit_keyed_requests(102.9)
    assert not replica.can_admit_keyed_requests(103.1)
    replica.apply_peer_offset("n", 1, 50.0, 110.0)
    assert replica.can_admit_keyed_requests(112.9)


def test_a_keeper_behind_a_peer_asks_and_then_takes_no_keys():
    replica = _replica_after(entry_put("a", "ana", customer(), 0))
    assert replica.apply_peer_offset("n", 5, 0.1, 101.0) == AskPeer("n", 1)
    for now in (102.0, 103.0, 104.5):
        replica.apply_peer_offset("n", 5, 0.1, now)
    assert not replica.can_admit_keyed_requests(104.5)


def test_a_keeper_without_a_state_takes_no_keys():
    assert not CatalogueReplica(100.0, 3.0).can_admit_keyed_requests(100.1)


def test_a_keeper_behind_the_oldest_record_rebuilds_and_serves_meanwhile():
    puts = [entry_put(f"p{i}", "op", customer(rate=i + 1.0), i) for i in range(6)]
    replica = _replica_after(*puts[:2])
    before = state_after(*puts[:4])
    records = [*puts[:4], snapshot("s", 4, before.dump()), puts[4]]
    assert replica.start_rebuild(3).offset == 3
    assert replica.state.customers_by_id["c"].rate == 2.0
    replica.apply_log_answer(tuple(enumerate(records))[3:5], 6, 101.0)
    assert replica.state.customers_by_id["c"].rate == 2.0
    replica.apply_log_answer(tuple(enumerate(records))[5:], 6, 101.5)
    assert replica.state.customers_by_id["c"].rate == 5.0
