"""Retry budget of a service, summed over the nodes of all its targets."""

import random

import pytest

from heatherspur.dispatch.budget import RetryBudget
from heatherspur.dispatch.queue import REPEAT_BUDGET
from heatherspur.dispatch.scheduling import ReservationKey
from heatherspur.dispatch.tests.builders import (
    make_dispatcher,
    make_member,
    make_queue,
    make_request,
    make_waiting,
)
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 64.0
N_TARGETS = 8


def _replay(arrivals) -> list[float]:
    """Return the times of the accepted retries."""
    budgets = [RetryBudget(RATIO, WINDOW_S, SLACK, 0.0) for _ in range(N_TARGETS)]
    times = []
    for at_s, target, is_retry in arrivals:
        budget = budgets[target]
        if not is_retry:
            budget.record_request()
        elif budget.can_retry(N_TARGETS, at_s):
            budget.spend()
            times.append(at_s)
    return times


def _is_within_budget(times, per_s: float) -> bool:
    return all(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
        <= RATIO * per_s * WINDOW_S + SLACK
        for start_s in times
    )


@pytest.mark.parametrize("per_s", [5, 50, 200])
@pytest.mark.parametrize("healthy_s", [0, 30])
def test_retries_stay_within_budget_in_each_window(per_s, healthy_s):
    rng = random.Random(1)
    arrivals = []
    for i in range(per_s * (healthy_s + 30)):
        at_s = i / per_s
        arrivals.append((at_s, rng.randrange(N_TARGETS), False))
        if at_s >= healthy_s:
            arrivals.append((at_s, rng.randrange(N_TARGETS), True))
    assert _is_within_budget(_replay(arrivals), per_s)


def test_one_entry_can_use_the_shares_of_all_targets():
    """With one share per entry, an entry got 2 of the 64 retries per window."""
    arrivals = [(30 + i / 100, i % N_TARGETS, True) for i in range(100)]
    assert len(_replay(arrivals)) >= SLACK / 4


def test_target_with_exhausted_budget_declines_only_retries():
    queue = make_queue(slots=500)
    reasons = []
    for i in range(200):
        retry = make_waiting(i, is_retry=True)
        (reply,) = queue.reserve(retry, 0.0)
        if isinstance(reply.message, m.Grant):
            assert queue.start(ReservationKey(1, i), 0.0)
        else:
            reasons.append(reply.message.reason)
    assert set(reasons) == {REPEAT_BUDGET}
    assert len(reasons) >= 200 - SLACK
    (reply,) = queue.reserve(make_waiting(999), 0.0)
    assert isinstance(reply.message, m.Grant)


def test_retry_declined_by_one_target_runs_at_another():
    dispatcher = make_dispatcher(make_member(2), make_member(3), make_member(4))
    reserved = list(dispatcher.open(make_request(), 0.0))
    first = reserved[0]
    messages = list(
        dispatcher.receive(m.Grant(first.message.number, 0, 300, 5), first.node, 0.03)
    )
    messages += list(dispatcher.tick(0.05))
    again = list(
        dispatcher.receive(m.Failed(first.message.number, "lost"), first.node, 0.1)
    )
    reserves = [x for x in again if isinstance(x, SendTo)]
    assert all(x.message.is_repeat for x in reserves)
    decline = m.Decline(reserves[0].message.number, REPEAT_BUDGET)
    assert list(dispatcher.receive(decline, reserves[0].node, 0.11)) == []
    grant = m.Grant(reserves[1].message.number, 0, 300, 5)
    messages = list(dispatcher.receive(grant, reserves[1].node, 0.12))
    assert any(
        isinstance(x, SendTo) and isinstance(x.message, m.Execute) for x in messages
    )


def test_resized_budget_applies_immediately():
    budget = RetryBudget(0.2, 10.0, 64.0, 0.0)
    assert budget.can_retry(1, 0.0)
    budget.resize(0.0, 10.0, 0.0)
    # The bucket always holds one retry, and a rate of zero never refills it.
    assert budget.can_retry(1, 1.0)
    budget.spend()
    assert not budget.can_retry(1, 100.0)
