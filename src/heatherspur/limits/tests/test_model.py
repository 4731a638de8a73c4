"""The limit holds in every run; the same search finds where naive rules fail."""

import pytest

from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import Fence, Lender
from heatherspur.limits.tests.model import SETTINGS, Model
from heatherspur.link.messages import TableConfirmation

N_SEEDS = 80
TOLERANCE = 1e-6


class VouchesUnread(Lender):
    """Naive: vouches after a restart without having read the log."""

    def vouch(self, ask):
        return TableConfirmation(ask.round, self.fence.epoch or ask.epoch)


class CountsFromAnswer(Fence):
    """Naive: counts the proof from when the answer came."""

    def take_answer(self, node, number, epoch, now):
        if number in self._sent_at_by_round:
            self._sent_at_by_round[number] = now
        super().take_answer(node, number, epoch, now)


class StartsAtOnce(Fence):
    """Naive: a new holder lends without waiting for the old one's loans."""

    def started_at_s(self, run, now):
        return now - 10.0


class NeedsNoProof(Fence):
    """Naive: a holder lends as long as it knows no newer table."""

    def _proved(self, now):
        return True


def test_never_more_than_rate_and_burst():
    n_admitted = 0
    for seed in range(N_SEEDS):
        model = Model(seed)
        excess = model.run()
        assert excess <= TOLERANCE, f"seed {seed}: {excess:.3f} tokens too many"
        n_admitted += model.n_admitted
    assert n_admitted > N_SEEDS * 20


@pytest.mark.parametrize(
    "rule",
    [
        {"fence_class": StartsAtOnce},
        {"fence_class": NeedsNoProof},
        {"lender_class": VouchesUnread},
    ],
)
def test_the_search_finds_a_naive_rule(rule):
    runs = (Model(seed, **rule).run() for seed in range(N_SEEDS))
    assert any(excess > 0.5 for excess in runs)


def _holder_with_answers(kind) -> Fence:
    """Return the fence of n1, whose peers answered a question of 10 s before."""
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    fence = kind("n1", "n1-1", SETTINGS)
    fence.apply_tables((LimitTable(1, shares),), {}, 100.0)
    fence.see_head(100.0)
    asked = fence.ask(110.0)
    for ask in asked:
        fence.take_answer(ask.node, ask.round, 1, 120.0)
    return fence


@pytest.mark.parametrize(("kind", "may"), [(Fence, False), (CountsFromAnswer, True)])
def test_a_proof_counts_from_its_question(kind, may):
    fence = _holder_with_answers(kind)
    assert fence.may_lend(fence.runs[0], 110.1)
    assert fence.may_lend(fence.runs[0], 120.1) is may


def test_a_new_holder_grants_permits_only_after_the_old_ones_lapsed():
    """Permits last longer than loans; the wait for loans alone is too short."""
    lease_s = 3.2
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    moved = (Share("n4", "n4-1", "z"), *shares[1:])
    fence = Fence("n4", "n4-1", SETTINGS)
    fence.apply_tables((LimitTable(1, shares), LimitTable(2, moved)), {}, 100.0)
    fence.see_head(100.0)
    for ask in fence.ask(100.0):
        fence.take_answer(ask.node, ask.round, 2, 100.0)
    run = fence.runs[0]
    assert fence.started_at_s(run, 100.0) is None
    now = 100.0 + SETTINGS.takeover_wait_s
    fence.see_head(now)
    assert fence.may_lend(run, now)
    assert not fence.may_keep(run, lease_s, now)
    fence.see_head(now + lease_s)
    assert fence.may_keep(run, lease_s, now + lease_s)


def test_a_holder_that_lost_its_share_and_got_it_back_waits_again():
    def table(epoch, holder):
        return LimitTable(epoch, (Share(holder, f"{holder}-1", "z"),))

    fence = Fence("n1", "n1-1", SETTINGS)
    fence.apply_tables((table(1, "n1"), table(2, "n2"), table(3, "n1")), {}, 100.0)
    fence.see_head(100.0)
    assert not fence.may_lend(fence.runs[0], 100.1)
    fence.see_head(110.0)
    for ask in fence.ask(110.0):
        fence.take_answer(ask.node, ask.round, 3, 110.0)
    assert fence.started_at_s(fence.runs[0], 110.1) is None
    assert fence.started_at_s(fence.runs[0], 110.1 + SETTINGS.takeover_wait_s)
