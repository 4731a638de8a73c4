"""Requests at targets that stop answering."""

import pytest

from heatherspur.dispatch import request_timing
from heatherspur.dispatch.overdue import MARGIN_S, OVERDUE_FACTOR, overdue_after_s
from heatherspur.dispatch.pending import FinalAnswer
from heatherspur.dispatch.runtimes import RunTimes
from heatherspur.dispatch.tests.builders import (
    make_dispatcher,
    make_member,
    make_request,
    make_route,
)
from heatherspur.dispatch.tests.fleet_replay import FleetReplay, GrayLoad
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

OBJECTIVE_S = 1.0
OVERDUE_S = OBJECTIVE_S + 0.05


def _sent(messages, kind) -> list[SendTo]:
    return [
        x for x in messages if isinstance(x, SendTo) and isinstance(x.message, kind)
    ]


def _start(idempotent: bool = True):
    """Start a request at one of two targets.

    :returns: The dispatcher, and the first reservation and the number of targets.
    """
    dispatcher = make_dispatcher(make_member(2), make_member(3, "b"))
    route = make_route(idempotent=idempotent, objective_s=OBJECTIVE_S)
    (reserve,) = _sent(dispatcher.open(make_request(route=route), 0.0), m.Reserve)
    number = reserve.message.number
    granted = list(dispatcher.receive(m.Grant(number, 0, 300, 5), reserve.node, 0.0))
    assert len(_sent(granted, m.Execute)) == 1
    return dispatcher, reserve


def _overdue():
    """Return a dispatcher with an overdue request, its target, and the other one."""
    dispatcher, first = _start()
    (second,) = _sent(dispatcher.tick(OVERDUE_S), m.Reserve)
    assert second.node != first.node
    return dispatcher, first, second


def test_overdue_request_moves_to_a_target_with_a_free_slot():
    dispatcher, first, second = _overdue()
    grant = m.Grant(second.message.number, 0, 300, 5)
    messages = list(dispatcher.receive(grant, second.node, OVERDUE_S))
    (withdraw,) = _sent(messages, m.Withdraw)
    (execute,) = _sent(messages, m.Execute)
    assert (withdraw.node, withdraw.message.number) == (
        first.node,
        first.message.number,
    )
    assert execute.node == second.node
    answer = m.Answer(second.message.number, 200, (), b"ok")
    (final,) = [
        x
        for x in dispatcher.receive(answer, second.node, 1.5)
        if isinstance(x, FinalAnswer)
    ]
    assert final.status == 200
    assert dispatcher.n_pending == 0


def test_decline_of_the_overdue_request_itself_ends_its_move():
    """Its grant had expired; the tick of the entry failed at it until its timeout."""
    dispatcher, first, second = _overdue()
    decline = m.Decline(first.message.number, "grant-expired")
    messages = list(dispatcher.receive(decline, first.node, OVERDUE_S))
    assert second.message.number in [
        x.message.number for x in _sent(messages, m.Withdraw)
    ]
    assert _sent(messages, m.Reserve)
    messages = list(dispatcher.tick(OVERDUE_S + 0.1))
    messages += dispatcher.tick(10.0)
    (final,) = [x for x in messages if isinstance(x, FinalAnswer)]
    assert final.status == 503
    assert dispatcher.n_pending == 0


@pytest.mark.parametrize(
    "reply", [lambda n: m.Queued(n, 100, 300), lambda n: m.Decline(n, "no-room"), None]
)
def test_overdue_request_keeps_its_target_without_a_free_slot(reply):
    dispatcher, first, second = _overdue()
    if reply is None:
        messages = list(dispatcher.tick(OVERDUE_S + 0.1))
    else:
        message = reply(second.message.number)
        messages = list(dispatcher.receive(message, second.node, OVERDUE_S))
    assert not _sent(messages, m.Execute)
    assert first.message.number not in [
        x.message.number for x in _sent(messages, m.Withdraw)
    ]
    # The next try follows later, and an answer that comes after all is delivered.
    assert not _sent(dispatcher.tick(OVERDUE_S + 0.15), m.Reserve)
    assert len(_sent(dispatcher.tick(OVERDUE_S + 0.5), m.Reserve)) == 1
    answer = m.Answer(first.message.number, 200, (), b"ok")
    messages = list(dispatcher.receive(answer, first.node, OVERDUE_S + 0.5))
    assert len(_sent(messages, m.Withdraw)) == 1
    assert any(isinstance(x, FinalAnswer) and x.status == 200 for x in messages)
    assert dispatcher.n_pending == 0


def test_loss_of_the_overdue_attempt_leaves_the_reservations():
    dispatcher, first, second = _overdue()
    list(dispatcher.handle_link_loss(first.node, OVERDUE_S))
    grant = m.Grant(second.message.number, 0, 300, 5)
    messages = list(dispatcher.receive(grant, second.node, OVERDUE_S))
    assert len(_sent(messages, m.Execute)) == 1


def test_overdue_request_that_is_never_answered_may_have_run():
    dispatcher, _, _ = _overdue()
    (final,) = [x for x in dispatcher.tick(3.5) if isinstance(x, FinalAnswer)]
    assert final.status == 504


def test_cancelled_overdue_request_is_withdrawn_everywhere():
    dispatcher, first, second = _overdue()
    withdrawn = _sent(dispatcher.cancel(1, OVERDUE_S), m.Withdraw)
    assert {x.node for x in withdrawn} == {first.node, second.node}


def test_non_idempotent_request_never_moves():
    dispatcher, _ = _start(idempotent=False)
    for now in (1.05, 1.5, 2.0, 2.5):
        assert not _sent(dispatcher.tick(now), m.Reserve)


def test_overdue_time_follows_the_run_times_of_the_route():
    run_times = RunTimes()
    for _ in range(2):
        run_times.note("a", 0.5)
    assert overdue_after_s(run_times, "a", 9.0) == 9.0
    run_times.note("a", 0.5)
    assert overdue_after_s(run_times, "a", 9.0) == pytest.approx(
        OVERDUE_FACTOR * 0.5 + MARGIN_S
    )


def _never(*_arguments) -> float:
    return float("inf")


@pytest.mark.parametrize("idempotent_share", [0.3, 0.6, 1.0])
def test_idempotent_requests_survive_hanging_targets(idempotent_share, monkeypatch):
    """Replay a load where a third of the targets let requests hang.

    A request that hung waited until its deadline, and occupied its slot.
    """
    load = GrayLoad(idempotent_share=idempotent_share)
    replays = [FleetReplay(load, seed).play() for seed in range(3)]
    monkeypatch.setattr(request_timing, "overdue_after_s", _never)
    baselines = [FleetReplay(load, seed).play() for seed in range(3)]
    n_lost, n_lost_baseline = (
        sum(x.n_opened - x.n_in_time for x in group) for group in (replays, baselines)
    )
    # Requests that must not run twice remain lost, and free slots again earlier.
    assert n_lost <= (1 - idempotent_share / 2) * n_lost_baseline


def test_overload_without_hanging_targets_causes_few_moves():
    """Moves take only slots that are free, so that they add no load."""
    load = GrayLoad(hangs=0.0, per_s=60.0)
    replay = FleetReplay(load, 1).play()
    assert replay.n_sent <= 1.02 * replay.n_opened
