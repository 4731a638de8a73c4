"""Search for violations of the limit, with the real rules and with broken ones.

The limit must hold in every run. The same search must find a violation for each broken
rule, which shows that it covers the failures that the rule prevents.
"""

import pytest

from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import HolderLease, TokenServer
from heatherspur.limits.tests.model import SETTINGS, Model
from heatherspur.link.messages import TableConfirmation

N_SEEDS = 80
TOLERANCE = 1e-6


class ConfirmsWithoutLogRead(TokenServer):
    """Broken rule: confirms a table after a restart without having read the log."""

    def answer_table_query(self, query):
        return TableConfirmation(query.round, self.holder_lease.epoch or query.epoch)


class CountsProofFromAnswer(HolderLease):
    """Broken rule: counts the proof time from the arrival of the answer."""

    def record_answer(self, node, number, epoch, now):
        if number in self._sent_at_by_round:
            self._sent_at_by_round[number] = now
        super().record_answer(node, number, epoch, now)


class SkipsTakeoverWait(HolderLease):
    """Broken rule: a new holder grants tokens before the old leases expire."""

    def granting_since_s(self, tenure, now):
        return now - 10.0


class GrantsWithoutProof(HolderLease):
    """Broken rule: a holder grants tokens until it applies a newer table itself."""

    def _is_proven(self, now):
        return True


def test_tokens_spent_never_exceed_rate_and_burst():
    n_admitted = 0
    for seed in range(N_SEEDS):
        model = Model(seed)
        excess = model.run()
        assert excess <= TOLERANCE, f"seed {seed}: {excess:.3f} tokens too many"
        n_admitted += model.n_admitted
    assert n_admitted > N_SEEDS * 20


@pytest.mark.parametrize(
    "broken_classes",
    [
        {"lease_class": SkipsTakeoverWait},
        {"lease_class": GrantsWithoutProof},
        {"server_class": ConfirmsWithoutLogRead},
    ],
)
def test_search_detects_broken_rules(broken_classes):
    runs = (Model(seed, **broken_classes).run() for seed in range(N_SEEDS))
    assert any(excess > 0.5 for excess in runs)


def _lease_with_late_answers(kind) -> HolderLease:
    """Return the lease of n1, whose peers answered a query 10 s after it was sent."""
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    holder_lease = kind("n1", "n1-1", SETTINGS)
    holder_lease.apply_tables((LimitTable(1, shares),), {}, 100.0)
    holder_lease.record_head_read(100.0)
    queries = holder_lease.due_queries(110.0)
    for query in queries:
        holder_lease.record_answer(query.node, query.round, 1, 120.0)
    return holder_lease


@pytest.mark.parametrize(
    ("kind", "expected"), [(HolderLease, False), (CountsProofFromAnswer, True)]
)
def test_proof_time_counts_from_sending_the_query(kind, expected):
    holder_lease = _lease_with_late_answers(kind)
    assert holder_lease.can_grant_tokens(holder_lease.tenures[0], 110.1)
    assert holder_lease.can_grant_tokens(holder_lease.tenures[0], 120.1) is expected


def test_new_holder_grants_permits_only_after_old_permits_expired():
    """Permits last longer than token leases, so the wait for those is too short."""
    lease_s = 3.2
    shares = tuple(Share(name, f"{name}-1", "z") for name in ("n1", "n2", "n3"))
    moved = (Share("n4", "n4-1", "z"), *shares[1:])
    holder_lease = HolderLease("n4", "n4-1", SETTINGS)
    holder_lease.apply_tables((LimitTable(1, shares), LimitTable(2, moved)), {}, 100.0)
    holder_lease.record_head_read(100.0)
    for query in holder_lease.due_queries(100.0):
        holder_lease.record_answer(query.node, query.round, 2, 100.0)
    tenure = holder_lease.tenures[0]
    assert holder_lease.granting_since_s(tenure, 100.0) is None
    now = 100.0 + SETTINGS.takeover_wait_s
    holder_lease.record_head_read(now)
    assert holder_lease.can_grant_tokens(tenure, now)
    assert not holder_lease.can_grant_permits(tenure, lease_s, now)
    holder_lease.record_head_read(now + lease_s)
    assert holder_lease.can_grant_permits(tenure, lease_s, now + lease_s)


def test_holder_that_regains_its_share_waits_again():
    def table(epoch, holder):
        return LimitTable(epoch, (Share(holder, f"{holder}-1", "z"),))

    holder_lease = HolderLease("n1", "n1-1", SETTINGS)
    holder_lease.apply_tables(
        (table(1, "n1"), table(2, "n2"), table(3, "n1")), {}, 100.0
    )
    holder_lease.record_head_read(100.0)
    assert not holder_lease.can_grant_tokens(holder_lease.tenures[0], 100.1)
    holder_lease.record_head_read(110.0)
    for query in holder_lease.due_queries(110.0):
        holder_lease.record_answer(query.node, query.round, 3, 110.0)
    assert holder_lease.granting_since_s(holder_lease.tenures[0], 110.1) is None
    assert holder_lease.granting_since_s(
        holder_lease.tenures[0], 110.1 + SETTINGS.takeover_wait_s
    )
