"""The limit holds in every run; the same search finds where naive rules fail."""

import pytest

from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import HolderLease, TokenServer
from heatherspur.limits.tests.model import SETTINGS, Model
from heatherspur.link.messages import TableConfirmation

N_SEEDS = 80
TOLERANCE = 1e-6


class VouchesUnread(TokenServer):
    """Naive: vouches after a restart without having read the log."""

    def answer_table_query(self, ask):
        return TableConfirmation(ask.round, self.holder_lease.epoch or ask.epoch)


class CountsFromAnswer(HolderLease):
    """Naive: counts the proof from when the answer came."""

    def record_answer(self, node, number, epoch, now):
        if number in self._sent_at_by_round:
            self._sent_at_by_round[number] = now
        super().record_answer(node, number, epoch, now)


class StartsAtOnce(HolderLease):
    """Naive: a new holder lends without waiting for the old one's loans."""

    def granting_since_s(self, run, now):
        return now - 10.0


class NeedsNoProof(HolderLease):
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
        {"lease_class": StartsAtOnce},
        {"lease_class": NeedsNoProof},
        {"server_class": VouchesUnread},
    ],
)
def test_the_search_finds_a_naive_rule(rule):
    runs = (Model(seed, **rule).run() for seed in range(N_SEEDS))
    assert any(excess > 0.5 for excess in runs)


def _holder_with_answers(kind) -> HolderLease:
    """Return the fence of n1, whose peers answered a question of 10 s before."""
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    holder_lease = kind("n1", "n1-1", SETTINGS)
    holder_lease.apply_tables((LimitTable(1, shares),), {}, 100.0)
    holder_lease.record_head_read(100.0)
    asked = holder_lease.due_queries(110.0)
    for ask in asked:
        holder_lease.record_answer(ask.node, ask.round, 1, 120.0)
    return holder_lease


@pytest.mark.parametrize(
    ("kind", "may"), [(HolderLease, False), (CountsFromAnswer, True)]
)
def test_a_proof_counts_from_its_question(kind, may):
    holder_lease = _holder_with_answers(kind)
    assert holder_lease.can_grant_tokens(holder_lease.tenures[0], 110.1)
    assert holder_lease.can_grant_tokens(holder_lease.tenures[0], 120.1) is may


def test_a_new_holder_grants_permits_only_after_the_old_ones_lapsed():
    """Permits last longer than loans; the wait for loans alone is too short."""
    lease_s = 3.2
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    moved = (Share("n4", "n4-1", "z"), *shares[1:])
    holder_lease = HolderLease("n4", "n4-1", SETTINGS)
    holder_lease.apply_tables((LimitTable(1, shares), LimitTable(2, moved)), {}, 100.0)
    holder_lease.record_head_read(100.0)
    for ask in holder_lease.due_queries(100.0):
        holder_lease.record_answer(ask.node, ask.round, 2, 100.0)
    run = holder_lease.tenures[0]
    assert holder_lease.granting_since_s(run, 100.0) is None
    now = 100.0 + SETTINGS.takeover_wait_s
    holder_lease.record_head_read(now)
    assert holder_lease.can_grant_tokens(run, now)
    assert not holder_lease.can_grant_permits(run, lease_s, now)
    holder_lease.record_head_read(now + lease_s)
    assert holder_lease.can_grant_permits(run, lease_s, now + lease_s)


def test_a_holder_that_lost_its_share_and_got_it_back_waits_again():
    def table(epoch, holder):
        return LimitTable(epoch, (Share(holder, f"{holder}-1", "z"),))

    holder_lease = HolderLease("n1", "n1-1", SETTINGS)
    holder_lease.apply_tables(
        (table(1, "n1"), table(2, "n2"), table(3, "n1")), {}, 100.0
    )
    holder_lease.record_head_read(100.0)
    assert not holder_lease.can_grant_tokens(holder_lease.tenures[0], 100.1)
    holder_lease.record_head_read(110.0)
    for ask in holder_lease.due_queries(110.0):
        holder_lease.record_answer(ask.node, ask.round, 3, 110.0)
    assert holder_lease.granting_since_s(holder_lease.tenures[0], 110.1) is None
    assert holder_lease.granting_since_s(
        holder_lease.tenures[0], 110.1 + SETTINGS.takeover_wait_s
    )
