"""Slots of a target with more reservations than slots."""

import pytest

from heatherspur.dispatch.scheduling import ReservationKey
from heatherspur.dispatch.tests.builders import make_queue, make_waiting
from heatherspur.link import messages as m


def _granted(replies) -> list[int]:
    return [r.key.number for r in replies if isinstance(r.message, m.Grant)]


def _occupy_slot(queue, now=0.0):
    assert _granted(queue.reserve(make_waiting(1), now)) == [1]
    assert queue.start(ReservationKey(1, 1), now)


def test_grants_do_not_exceed_the_slots():
    queue = make_queue(slots=2)
    granted = [n for i in range(5) for n in _granted(queue.reserve(make_waiting(i), 0))]
    assert granted == [0, 1]
    assert queue.n_busy == 2


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"is_nested": True, "priority": 5}, {"priority": 0}),
        ({"priority": 0, "objective_at_s": 9.0}, {"priority": 1}),
        ({"objective_at_s": 0.9}, {"objective_at_s": 1.0}),
        ({"objective_at_s": 2.0}, {"objective_at_s": 0.1}),
    ],
    ids=["nested", "priority", "earlier objective", "in time before late"],
)
def test_order_of_grants(first, second):
    queue = make_queue()
    _occupy_slot(queue)
    list(queue.reserve(make_waiting(2, **second), 0.0))
    list(queue.reserve(make_waiting(3, **first), 0.0))
    assert _granted(queue.finish(ReservationKey(1, 1), True, 0.2)) == [3]


def test_expired_grant_can_not_be_used():
    queue = make_queue()
    list(queue.reserve(make_waiting(1), 0.0))
    list(queue.reserve(make_waiting(2), 0.0))
    replies = list(queue.tick(1.0))
    assert _granted(replies) == [2]
    assert not queue.start(ReservationKey(1, 1), 1.0)


def test_slot_of_withdrawn_reservation_is_granted_to_the_next():
    queue = make_queue()
    list(queue.reserve(make_waiting(1), 0.0))
    list(queue.reserve(make_waiting(2), 0.0))
    assert _granted(queue.withdraw(ReservationKey(1, 1), 0.1)) == [2]


def test_draining_target_declines_all_but_running_requests():
    queue = make_queue(slots=2)
    _occupy_slot(queue)
    list(queue.reserve(make_waiting(2), 0.0))
    list(queue.reserve(make_waiting(3), 0.0))
    queue.accepting = False
    declined = [reply.key.number for reply in queue.decline_all("not-ready")]
    assert sorted(declined) == [2, 3]
    assert queue.n_running == 1
    replies = list(queue.reserve(make_waiting(4), 0.0))
    assert [type(reply.message) for reply in replies] == [m.Decline]


def test_lost_link_releases_its_reservations():
    queue = make_queue()
    list(queue.reserve(make_waiting(1), 0.0))
    list(queue.reserve(make_waiting(2, key=ReservationKey(2, 2)), 0.0))
    assert _granted(queue.drop_link(1, 0.1)) == [2]


def test_doubtful_target_receives_only_single_idempotent_requests():
    queue = make_queue(slots=3)
    queue.verdict.record_failure(0.0)
    assert _granted(queue.reserve(make_waiting(1, may_probe=False), 0.5)) == []
    assert _granted(queue.reserve(make_waiting(2), 0.5)) == [2]
    assert _granted(queue.reserve(make_waiting(3), 0.5)) == []


def test_grants_report_a_slow_target_before_its_requests_end():
    queue = make_queue(slots=2)
    _occupy_slot(queue)
    (reply,) = queue.reserve(make_waiting(2), 3.0)
    assert reply.message.run_ms == 3000


def test_reservations_wait_for_the_first_report_of_a_target():
    """A restarted node must not refuse requests until its target has reported."""
    queue = make_queue(slots=0)
    queue.accepting = False
    queue.startup_deadline_s = 1.5
    (reply,) = queue.reserve(make_waiting(1), 0.0)
    assert isinstance(reply.message, m.Queued)
    assert list(queue.tick(0.5)) == []
    queue.slots, queue.accepting = 1, True
    assert _granted(queue.grant_free_slots(0.6)) == [1]


def test_reservations_are_declined_if_no_report_arrives():
    queue = make_queue(slots=0)
    queue.accepting = False
    queue.startup_deadline_s = 1.5
    list(queue.reserve(make_waiting(1), 0.0))
    assert [r.message.reason for r in queue.tick(1.5)] == ["not-ready"]


def _run_until_timeout(queue, number, now) -> str:
    (reply,) = queue.reserve(make_waiting(number, route=9), now)
    if isinstance(reply.message, m.Decline):
        return reply.message.reason
    key = ReservationKey(1, number)
    queue.start(key, now)
    queue.record_outcome(key, False, now + 0.4)
    list(queue.finish(key, False, now + 0.4))
    return "ran"


def test_route_with_only_timeouts_occupies_few_slots():
    """54 requests of 1 s that exceeded their timeout occupied a third of a service."""
    queue = make_queue(slots=3)
    outcomes = [_run_until_timeout(queue, i, i / 2) for i in range(20)]
    assert outcomes[:2] == ["ran", "ran"]
    assert outcomes.count("ran") <= 2 + 10 / 2
    (other_route,) = queue.reserve(make_waiting(99, route=8), 10.0)
    assert isinstance(other_route.message, m.Grant)


def test_blocked_route_is_probed_and_unblocked_by_an_answer():
    queue = make_queue(slots=3)
    assert [_run_until_timeout(queue, i, i / 2) for i in range(3)][-1] == "futile"
    (reply,) = queue.reserve(make_waiting(50, route=9), 5.0)
    assert isinstance(reply.message, m.Grant)
    queue.start(reply.key, 5.0)
    queue.record_outcome(reply.key, True, 5.1)
    list(queue.finish(reply.key, True, 5.1))
    for number in (51, 52):
        (reply,) = queue.reserve(make_waiting(number, route=9), 5.2)
        assert isinstance(reply.message, m.Grant)


def test_queued_requests_of_a_blocked_route_are_declined():
    queue = make_queue(slots=2)
    for number in (1, 2):
        (reply,) = queue.reserve(make_waiting(number, route=9), 0.0)
        assert queue.start(reply.key, 0.0)
    list(queue.reserve(make_waiting(3, route=9, priority=5), 0.1))
    list(queue.reserve(make_waiting(4, route=8), 0.1))
    for number in (1, 2):
        queue.record_outcome(ReservationKey(1, number), False, 0.4)
    declined = [r.key.number for r in queue.tick(0.4) if r.message[1:] == ("futile",)]
    assert declined == [3]
