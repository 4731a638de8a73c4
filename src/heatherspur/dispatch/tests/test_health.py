"""Verdicts on targets that fail while they report healthy."""

import random

from heatherspur.dispatch.health import TargetHealth


def test_first_broken_request_keeps_non_idempotent_ones_away():
    verdict = TargetHealth()
    verdict.record_failure(1.0)
    assert not verdict.allows_request(False, 0, 1.5)
    assert verdict.allows_request(True, 0, 1.5)
    assert not verdict.allows_request(True, 1, 1.5)


def test_two_good_probes_clear_a_target():
    verdict = TargetHealth()
    verdict.record_failure(1.0)
    verdict.record_success(1.3)
    assert verdict.allows_request(True, 2, 1.4)
    assert not verdict.allows_request(False, 0, 1.4)
    verdict.record_success(1.5)
    assert verdict.allows_request(False, 2, 1.6)


def test_success_from_before_the_failure_clears_nothing():
    verdict = TargetHealth()
    verdict.record_failure(1.0)
    verdict.record_success(0.9)
    verdict.record_success(0.95)
    assert verdict.state == "doubtful"


def test_single_errors_of_a_target_are_no_reason():
    verdict = TargetHealth()
    for i in range(200):
        if i % 50 == 0:
            verdict.record_error(i)
        else:
            verdict.record_success(i)
    assert verdict.state == "sound"


def test_many_errors_are():
    verdict = TargetHealth()
    for i in range(3):
        verdict.record_error(i)
    assert verdict.state == "doubtful"


def test_target_without_idempotent_requests_comes_back():
    verdict = TargetHealth()
    verdict.record_failure(1.0)
    assert not verdict.allows_request(False, 0, 3.9)
    assert verdict.allows_request(False, 0, 4.0)


def test_spells_of_failures_cost_few_non_idempotent_requests():
    """Replays the load of today's sites: a third of the time 85 in 100 fail."""
    rng = random.Random(7)
    verdict, naive_lost, lost, n_sent = TargetHealth(), 0, 0, 0
    for i in range(4000):
        now = i * 0.1
        is_gray = now % 9.0 < 2.7
        idempotent = rng.random() < 0.4
        fails = is_gray and rng.random() < 0.85
        naive_lost += fails and not idempotent
        if not verdict.allows_request(idempotent, 0, now):
            continue
        n_sent += not idempotent
        if fails:
            lost += not idempotent
            verdict.record_failure(now)
        else:
            verdict.record_success(now)
    assert lost < naive_lost / 5
    assert n_sent > 1200


def test_target_that_sheds_goes_on_getting_work():
    verdict = TargetHealth()
    verdict.record_success(5.0)
    for _ in range(10):
        verdict.record_shed()
    assert verdict.allows_request(False, 2, 6.0)
    assert verdict.last_success_at_s < 5.0
