"""The floor holds whoever decides, and whatever joins, leaves or flaps."""

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

LAPSE_S = 3.0


@pytest.mark.parametrize(
    ("n_live", "floor", "n_out"),
    [(8, 0.5, 4), (3, 0.5, 1), (1, 0.0, 0), (0, 0.5, 0), (10, 0.9, 1), (5, 1.0, 0)],
)
def test_how_many_may_be_out(n_live, floor, n_out):
    assert max_ejected(n_live, floor) == n_out


class NaiveLedger(PermitLedger):
    """Naive: each target decides for itself."""

    def try_grant(self, service, target, n_live, floor, now):
        self._current(service, now)[target] = now + LAPSE_S
        return True


def _search(ledger_class, seed: int) -> bool:
    """Return whether more targets were out than the floor allows.

    Targets ask, renew, lose their answers, freeze and come back at random while
    others join and leave; a target counts as out while its own lease lasts. A
    departure is no ejection: what was allowed before it may last for one lease more,
    and entries use ejected targets meanwhile (tested below).
    """
    rng = random.Random(seed)
    ledger = ledger_class(LAPSE_S)
    live = {f"t{i}" for i in range(8)}
    out_until: dict[str, float] = {}
    allowed: list[tuple[float, int]] = []
    now = 0.0
    for _ in range(400):
        now += rng.uniform(0.05, 0.6)
        if rng.random() < 0.05:
            joined = rng.choice([f"t{i}" for i in range(12)])
            live ^= {joined}
            out_until.pop(joined, None)
        if not live:
            continue
        target = rng.choice(sorted(live))
        asked_at_s = now - rng.uniform(0, 0.5)
        granted = ledger.try_grant("s", target, len(live), 0.5, now)
        if not granted:
            out_until.pop(target, None)
        elif rng.random() < 0.9:
            out_until[target] = asked_at_s + LAPSE_S
        n_out = sum(until > now for t, until in out_until.items() if t in live)
        allowed.append((now, max_ejected(len(live), 0.5)))
        if n_out > max(n for at_s, n in allowed if now - at_s <= LAPSE_S):
            return True
    return False


def test_permits_never_pass_the_floor():
    assert not any(_search(PermitLedger, seed) for seed in range(300))


def test_the_search_finds_targets_that_decide_alone():
    assert any(_search(NaiveLedger, seed) for seed in range(300))


def test_later_permits_go_first_when_live_targets_leave():
    ledger = PermitLedger(LAPSE_S)
    assert all(ledger.try_grant("s", t, 8, 0.5, 0.0) for t in ("a", "b", "c", "d"))
    assert not ledger.try_grant("s", "e", 8, 0.5, 0.0)
    assert ledger.try_grant("s", "a", 4, 0.5, 1.0)
    assert not ledger.try_grant("s", "d", 4, 0.5, 1.0)


def _report(target: str, state: str) -> TargetReport:
    return TargetReport(target, "s", 3, 0, 0, state, 3.0, 0.3, 0.0, 50)


def test_an_entry_uses_ejected_targets_before_it_falls_below_the_floor():
    target_selector = TargetSelector("z", random.Random(1))
    for i in range(8):
        state = "ejected" if i < 6 else "active"
        target_selector.update_node(f"n{i}", "z", (_report(f"t{i}", state),))
    chosen = set()
    for _ in range(300):
        view = target_selector.select("s", 0.5, False, frozenset(), 1.0)
        chosen.add(view.target)
    assert len(chosen) == 4


def test_an_unreachable_exit_is_no_reason_to_eject():
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


def test_own_zone_first_and_spill_over_under_load():
    target_selector = TargetSelector("z", random.Random(1))
    target_selector.update_node("near", "z", (_report("near", "active"),))
    target_selector.update_node("far", "y", (_report("far", "active"),))
    first = target_selector.select("s", 0.5, False, frozenset(), 1.0)
    assert first.target == "near"
    target_selector.views("s")["near"].n_load = 12
    assert target_selector.select("s", 0.5, False, frozenset(), 1.0).target == "far"


def test_a_class_that_changes_counts_for_a_running_target():
    """A target announced before its service was known once stayed ``steady``."""
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


def test_a_service_whose_every_request_fails_has_no_outlier():
    """With all others at a bad ratio of 1 the likelihood ratio divided by zero."""
    settings = RoutingSettings(0.0, 3.0, 4.0, 3, 20)
    ejector = TargetEjector("s", "t", "swift", settings, 0.0)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 1.0, 50) for i in range(3))
    list(ejector.tick((), 1.0))
    for i in range(50):
        ejector.note(2.0, i % 10 > 0, 1.0 + i / 100)
    ejector.update_peers(PeerSample(f"p{i}", 2.0, 0.2, 1.0, 90) for i in range(3))
    list(ejector.tick((), 2.0))
    assert ejector.state == "active"
