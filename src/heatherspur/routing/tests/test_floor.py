"""Tests of the floor, of target selection, and of the state of single targets.

A search with random seeds checks that the floor holds while targets join, leave and
lose messages. The same search must detect a ledger that ignores the floor.
"""

import random

import pytest

from heatherspur.link.messages import TargetReport
from heatherspur.routing import (
    PeerSample,
    PermitLedger,
    RoutingSettings,
    TargetEjector,
    TargetSelector,
    max_ejected,
)

LEASE_S = 3.0


@pytest.mark.parametrize(
    ("n_live", "floor", "n_ejected"),
    [(8, 0.5, 4), (3, 0.5, 1), (1, 0.0, 0), (0, 0.5, 0), (10, 0.9, 1), (5, 1.0, 0)],
)
def test_max_ejected(n_live, floor, n_ejected):
    assert max_ejected(n_live, floor) == n_ejected


class UnlimitedLedger(PermitLedger):
    """Broken rule: grants every permit, so that each target decides for itself."""

    def try_grant(self, service, target, n_live, floor, now):
        self._unexpired(service, now)[target] = now + LEASE_S
        return True


def _violates_floor(ledger_class, seed: int) -> bool:
    """Return whether more targets were ejected than the floor allows.

    Targets request and renew permits, lose answers, freeze and come back at random,
    while others join and leave. A target counts as ejected until its own lease expires.
    When a target leaves, permits granted before may last for one lease more; until
    then, entries use ejected targets (tested below).
    """
    rng = random.Random(seed)
    ledger = ledger_class(LEASE_S)
    live = {f"t{i}" for i in range(8)}
    ejected_until: dict[str, float] = {}
    limits: list[tuple[float, int]] = []
    now = 0.0
    for _ in range(400):
        now += rng.uniform(0.05, 0.6)
        if rng.random() < 0.05:
            joined = rng.choice([f"t{i}" for i in range(12)])
            live ^= {joined}
            ejected_until.pop(joined, None)
        if not live:
            continue
        target = rng.choice(sorted(live))
        asked_at_s = now - rng.uniform(0, 0.5)
        granted = ledger.try_grant("s", target, len(live), 0.5, now)
        if not granted:
            ejected_until.pop(target, None)
        elif rng.random() < 0.9:
            ejected_until[target] = asked_at_s + LEASE_S
        n_ejected = sum(until > now for t, until in ejected_until.items() if t in live)
        limits.append((now, max_ejected(len(live), 0.5)))
        if n_ejected > max(n for at_s, n in limits if now - at_s <= LEASE_S):
            return True
    return False


def test_permits_never_violate_the_floor():
    assert not any(_violates_floor(PermitLedger, seed) for seed in range(300))


def test_search_detects_unlimited_permits():
    assert any(_violates_floor(UnlimitedLedger, seed) for seed in range(300))


def test_last_permits_are_not_renewed_when_live_targets_leave():
    ledger = PermitLedger(LEASE_S)
    assert all(ledger.try_grant("s", t, 8, 0.5, 0.0) for t in ("a", "b", "c", "d"))
    assert not ledger.try_grant("s", "e", 8, 0.5, 0.0)
    assert ledger.try_grant("s", "a", 4, 0.5, 1.0)
    assert not ledger.try_grant("s", "d", 4, 0.5, 1.0)


def _report(target: str, state: str) -> TargetReport:
    return TargetReport(target, "s", 3, 0, 0, state, 3.0, 0.3, 0.0, 50)


def test_entry_uses_ejected_targets_to_keep_the_floor():
    target_selector = TargetSelector("z", random.Random(1))
    for i in range(8):
        state = "ejected" if i < 6 else "active"
        target_selector.update_node(f"n{i}", "z", (_report(f"t{i}", state),))
    chosen = set()
    for _ in range(300):
        view = target_selector.select("s", 0.5, False, frozenset(), 1.0)
        chosen.add(view.target)
    assert len(chosen) == 4


def test_unreachable_exit_does_not_change_target_state():
    target_selector = TargetSelector("z", random.Random(1))
    for i in range(2):
        target_selector.update_node(f"n{i}", "z", (_report(f"t{i}", "active"),))
    target_selector.mark_reachable({"n0"})
    assert {
        target_selector.select("s", 0.5, False, frozenset(), 1.0).target
        for _ in range(20)
    } == {"t0"}
    target_selector.mark_reachable({"n0", "n1"})
    assert target_selector.views("s")["t1"].report.state == "active"


def test_own_zone_is_preferred_until_it_is_loaded():
    target_selector = TargetSelector("z", random.Random(1))
    target_selector.update_node("near", "z", (_report("near", "active"),))
    target_selector.update_node("far", "y", (_report("far", "active"),))
    first = target_selector.select("s", 0.5, False, frozenset(), 1.0)
    assert first.target == "near"
    target_selector.views("s")["near"].n_load = 12
    assert target_selector.select("s", 0.5, False, frozenset(), 1.0).target == "far"


def test_class_change_applies_to_a_running_target():
    """A target announced before its service was known kept the class ``steady``."""
    settings = RoutingSettings(0.0, 3.0, 4.0, 3, 20)
    ejector = TargetEjector("s", "t", "steady", settings, 0.0)
    ejector.set_class("swift")
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 0.0, 50) for i in range(3))
    list(ejector.tick((), 1.0))
    for i in range(3):
        ejector.note(2.0, True, 1.0 + i / 10)
    list(ejector.tick((), 1.5))
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 0.0, 90) for i in range(3))
    list(ejector.tick((), 2.0))
    assert ejector.state == "suspected"


def test_service_whose_requests_all_fail_has_no_outlier():
    """With a bad ratio of 1 at all others, the likelihood ratio divided by zero."""
    settings = RoutingSettings(0.0, 3.0, 4.0, 3, 20)
    ejector = TargetEjector("s", "t", "swift", settings, 0.0)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 1.0, 50) for i in range(3))
    list(ejector.tick((), 1.0))
    for i in range(50):
        ejector.note(2.0, i % 10 > 0, 1.0 + i / 100)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 1.0, 90) for i in range(3))
    list(ejector.tick((), 2.0))
    assert ejector.state == "active"
