"""Dispatch of requests: at most one run, bounded attempts, correct final answers."""

import pytest

from heatherspur.dispatch.pending import FinalAnswer
from heatherspur.dispatch.tests.builders import (
    make_dispatcher,
    make_member,
    make_request,
    make_route,
)
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

NON_IDEMPOTENT = make_route(idempotent=False)


def _sent(messages, kind) -> list[SendTo]:
    messages = list(messages)
    return [
        x for x in messages if isinstance(x, SendTo) and isinstance(x.message, kind)
    ]


def _finished(messages) -> FinalAnswer | None:
    return next((x for x in messages if isinstance(x, FinalAnswer)), None)


def _answer(number: int, status: int = 200) -> m.Answer:
    return m.Answer(number, status, (), b"ok")


def _open_and_grant(dispatcher, request, now=0.0):
    """Open a request and grant its first reservation; return its number and node."""
    reserved = _sent(dispatcher.open(request, now), m.Reserve)
    number, node = reserved[0].message.number, reserved[0].node
    granted = list(dispatcher.receive(m.Grant(number, 0, 300, 5), node, now))
    for other in reserved[1:]:
        queued = m.Queued(other.message.number, 10, 300)
        granted += dispatcher.receive(queued, other.node, now)
    assert len(_sent(granted, m.Execute)) == 1
    return number, node


def test_reserves_in_the_local_zone_first():
    dispatcher = make_dispatcher(make_member(2, "b"), make_member(3), make_member(4))
    reserved = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    assert {a.node for a in reserved} == {"10.0.0.3:80", "10.0.0.4:80"}


def test_reserves_in_other_zones_if_the_local_zone_is_full():
    dispatcher = make_dispatcher(make_member(2, "b"), make_member(3))
    reserved = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    queued = m.Queued(reserved[0].message.number, 500, 300)
    more = _sent(dispatcher.receive(queued, reserved[0].node, 0.01), m.Reserve)
    assert [a.node for a in more] == ["10.0.0.2:80"]


@pytest.mark.parametrize(
    ("route", "chosen"),
    [(NON_IDEMPOTENT, 0), (make_route(), 1), (make_route(max_targets=1), 0)],
)
def test_grant_is_selected_by_the_last_success_of_its_target(route, chosen):
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    reserved = _sent(dispatcher.open(make_request(route=route), 0.0), m.Reserve)
    messages = []
    for place, proven_ms in ((0, 100), (1, 900)):
        grant = m.Grant(reserved[place].message.number, proven_ms, 300, 5)
        messages += dispatcher.receive(grant, reserved[place].node, 0.001)
    (execute,) = _sent(messages, m.Execute)
    (withdraw,) = _sent(messages, m.Withdraw)
    assert execute.node == reserved[chosen].node
    assert withdraw.node == reserved[1 - chosen].node


def test_slow_target_is_skipped_while_another_has_a_slot():
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    first, second = _sent(
        dispatcher.open(make_request(route=NON_IDEMPOTENT), 0.0), m.Reserve
    )
    slow = m.Grant(first.message.number, 10, 3500, 5)
    list(dispatcher.receive(slow, first.node, 0.001))
    usual = m.Grant(second.message.number, 900, 300, 5)
    messages = list(dispatcher.receive(usual, second.node, 0.001))
    assert [x.node for x in _sent(messages, m.Execute)] == [second.node]


def test_grant_is_used_without_waiting_long_for_a_slow_exit():
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    first, second = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    grant = m.Grant(first.message.number, 0, 300, 5)
    assert not list(dispatcher.receive(grant, first.node, 0.001))
    messages = list(dispatcher.tick(0.05))
    assert [x.node for x in _sent(messages, m.Execute)] == [first.node]
    late = dispatcher.receive(
        m.Grant(second.message.number, 0, 300, 5), second.node, 0.06
    )
    assert [x.message for x in late] == [m.Withdraw(second.message.number)]


def test_last_attempt_does_not_probe_doubtful_targets():
    dispatcher = make_dispatcher(make_member(2), make_member(3), make_member(4))
    reserved = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    assert all(x.message.may_probe for x in reserved)
    number, node = _open_and_grant(dispatcher, make_request(2))
    messages = list(dispatcher.receive(m.Failed(number, "lost"), node, 0.1))
    assert not any(x.message.may_probe for x in _sent(messages, m.Reserve))


def test_non_idempotent_request_is_not_retried_after_a_failure():
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    number, node = _open_and_grant(dispatcher, make_request(route=NON_IDEMPOTENT))
    messages = list(dispatcher.receive(m.Failed(number, "target-lost"), node, 0.1))
    assert not _sent(messages, m.Reserve)
    assert _finished(messages).status == 502


def test_non_idempotent_request_is_retried_if_it_was_not_run():
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    number, node = _open_and_grant(dispatcher, make_request(route=NON_IDEMPOTENT))
    not_run = m.NotRun(number, "target-status-503", True)
    messages = list(dispatcher.receive(not_run, node, 0.1))
    assert len(_sent(messages, m.Reserve)) == 1


def test_sent_request_stays_pending_after_link_loss_until_timeout():
    dispatcher = make_dispatcher(make_member(2))
    _, node = _open_and_grant(dispatcher, make_request(route=NON_IDEMPOTENT))
    assert _finished(dispatcher.handle_link_loss(node, 0.1)) is None
    assert _finished(dispatcher.tick(3.0)).status == 504


def test_link_loss_before_a_grant_ends_as_not_run():
    dispatcher = make_dispatcher(make_member(2))
    reserved = _sent(
        dispatcher.open(make_request(route=NON_IDEMPOTENT), 0.0), m.Reserve
    )
    assert _finished(dispatcher.handle_link_loss(reserved[0].node, 0.1)) is None
    (retried,) = _sent(dispatcher.tick(1.1), m.Reserve)
    assert _finished(dispatcher.handle_link_loss(retried.node, 1.3)).status == 503


def test_idempotent_request_is_retried_elsewhere_with_bounded_attempts():
    dispatcher = make_dispatcher(make_member(2), make_member(3), make_member(4))
    number, node = _open_and_grant(dispatcher, make_request())
    messages = list(dispatcher.receive(m.Failed(number, "target-lost"), node, 0.1))
    retried = _sent(messages, m.Reserve)
    assert node not in {s.node for s in retried}
    number, node = retried[0].message.number, retried[0].node
    list(dispatcher.receive(m.Grant(number, 0, 300, 5), node, 0.2))
    messages = list(dispatcher.receive(m.Failed(number, "target-lost"), node, 0.3))
    assert _finished(messages).status == 502


def test_error_answer_is_used_if_a_retry_is_impossible():
    dispatcher = make_dispatcher(make_member(2))
    number, node = _open_and_grant(dispatcher, make_request())
    messages = list(dispatcher.receive(_answer(number, 500), node, 0.1))
    finished = _finished(messages)
    assert (finished.status, finished.is_local) == (500, False)


def test_request_with_too_long_wait_is_refused_immediately():
    dispatcher = make_dispatcher(make_member(2))
    reserved = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    queued = m.Queued(reserved[0].message.number, 9000, 300)
    finished = _finished(dispatcher.receive(queued, reserved[0].node, 0.01))
    assert finished.status == 503
    assert finished.retry_after_s > 0


def test_request_without_any_target_is_refused_immediately():
    finished = _finished(make_dispatcher().open(make_request(), 0.0))
    assert finished.status == 503


@pytest.mark.parametrize("is_sent", [False, True])
def test_final_answer_is_sent_at_the_timeout_of_the_route(is_sent):
    dispatcher = make_dispatcher(make_member(2))
    if is_sent:
        _open_and_grant(dispatcher, make_request(route=NON_IDEMPOTENT))
    else:
        list(dispatcher.open(make_request(route=NON_IDEMPOTENT), 0.0))
    messages = list(dispatcher.tick(3.0))
    assert _finished(messages).status == (504 if is_sent else 503)
    assert _sent(messages, m.Withdraw)
    assert dispatcher.n_pending == 0


def test_stopping_node_refuses_waiting_and_completes_running_requests():
    """A request that had waited for 5 s got no answer when the process stopped."""
    dispatcher = make_dispatcher(make_member(2))
    route = make_route(timeout_s=6.0, objective_s=2.0)
    number, node = _open_and_grant(dispatcher, make_request(1, route=route))
    list(dispatcher.open(make_request(2, route=route), 0.0))
    dispatcher.stop_waiting(2.5)
    assert _finished(dispatcher.tick(2.4)) is None
    finished = _finished(dispatcher.tick(2.5))
    assert (finished.exchange, finished.status) == (2, 503)
    assert _finished(dispatcher.receive(_answer(number), node, 3.0)).status == 200


def test_disconnected_caller_withdraws_its_request():
    dispatcher = make_dispatcher(make_member(2))
    number, node = _open_and_grant(dispatcher, make_request())
    messages = list(dispatcher.cancel(1, 0.2))
    assert [(s.node, s.message) for s in _sent(messages, m.Withdraw)] == [
        (node, m.Withdraw(number))
    ]
    assert _finished(dispatcher.receive(_answer(number), node, 0.3)) is None


def test_request_waits_briefly_for_targets_that_are_down():
    """After many nodes were killed together, requests were refused immediately."""
    dispatcher = make_dispatcher(make_member(2))
    (reserved,) = _sent(dispatcher.open(make_request(), 0.0), m.Reserve)
    assert _finished(dispatcher.handle_link_loss(reserved.node, 0.1)) is None
    (retried,) = _sent(dispatcher.tick(0.4), m.Reserve)
    grant = m.Grant(retried.message.number, 0, 300, 5)
    assert _sent(dispatcher.receive(grant, retried.node, 0.5), m.Execute)


def test_request_does_not_wait_long_for_targets_that_stay_down():
    dispatcher = make_dispatcher(make_member(2))
    messages = list(dispatcher.open(make_request(), 0.0))
    finished = None
    now = 0.0
    while finished is None and now < 3:
        for reserved in _sent(messages, m.Reserve):
            decline = m.Decline(reserved.message.number, "not-ready")
            messages = list(dispatcher.receive(decline, reserved.node, now))
            finished = finished or _finished(messages)
        now += 0.05
        messages = list(dispatcher.tick(now))
        finished = finished or _finished(messages)
    assert finished.status == 503
    assert now < 1.5


def test_declines_that_apply_to_all_targets_refuse_the_request():
    dispatcher = make_dispatcher(*(make_member(i) for i in range(2, 8)))
    messages = list(dispatcher.open(make_request(), 0.0))
    finished = None
    for reserved in _sent(messages, m.Reserve):
        decline = m.Decline(reserved.message.number, "futile")
        finished = _finished(dispatcher.receive(decline, reserved.node, 0.01))
        if finished:
            break
    assert finished.status == 503
    assert finished.retry_after_s > 0


def test_request_does_not_wait_for_doubtful_targets_alone():
    """Requests that sound targets declined waited for gray ones until their timeout."""
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    gray, sound = _sent(
        dispatcher.open(make_request(route=NON_IDEMPOTENT), 0.0), m.Reserve
    )
    doubtful = m.Queued(gray.message.number, 3000, 300)
    busy = m.Queued(sound.message.number, 400, 300)
    assert _finished(dispatcher.receive(doubtful, gray.node, 0.01)) is None
    assert _finished(dispatcher.receive(busy, sound.node, 0.01)) is None
    decline = m.Decline(sound.message.number, "no-room")
    finished = _finished(dispatcher.receive(decline, sound.node, 1.5))
    assert finished.status == 503


def test_request_whose_grant_expired_is_not_resumed():
    """The next tick looked up a reservation that the decline had removed."""
    dispatcher = make_dispatcher(make_member(2), make_member(3))
    number, node = _open_and_grant(dispatcher, make_request(route=NON_IDEMPOTENT))
    list(dispatcher.handle_link_loss(node, 0.2))
    decline = m.Decline(number, "grant-expired")
    messages = list(dispatcher.receive(decline, node, 0.25))
    messages += dispatcher.tick(0.7)
    assert not _sent(messages, m.Resume)
    (retried,) = {reserved.node for reserved in _sent(messages, m.Reserve)}
    assert retried != node


def test_error_at_one_request_does_not_delay_the_others(monkeypatch):
    """The tick ended at it, so that no request after it got its final answer."""
    dispatcher = make_dispatcher(make_member(2))
    for exchange in (1, 2):
        list(dispatcher.open(make_request(exchange), 0.0))
    latest_start_s = dispatcher._timing.latest_start_s

    def fail_at_first(pending):
        if pending.request.exchange == 1:
            raise ValueError("any")
        return latest_start_s(pending)

    monkeypatch.setattr(dispatcher._timing, "latest_start_s", fail_at_first)
    finals = [
        x
        for now in (0.5, 10.0)
        for x in dispatcher.tick(now)
        if isinstance(x, FinalAnswer)
    ]
    assert [(x.exchange, x.status) for x in finals] == [(1, 503), (2, 503)]
    assert dispatcher.n_pending == 0
