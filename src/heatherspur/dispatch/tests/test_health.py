"""Health of targets that fail while their health check passes."""

import random

from heatherspur.dispatch.health import TargetHealth


def test_first_failure_blocks_non_idempotent_requests():
    health = TargetHealth()
    health.record_failure(1.0)
    assert not health.allows_request(False, 0, 1.5)
    assert health.allows_request(True, 0, 1.5)
    assert not health.allows_request(True, 1, 1.5)


def test_two_successful_probes_restore_a_target():
    health = TargetHealth()
    health.record_failure(1.0)
    health.record_success(1.3)
    assert health.allows_request(True, 2, 1.4)
    assert not health.allows_request(False, 0, 1.4)
    health.record_success(1.5)
    assert health.allows_request(False, 2, 1.6)


def test_success_of_a_request_from_before_the_failure_is_ignored():
    health = TargetHealth()
    health.record_failure(1.0)
    health.record_success(0.9)
    health.record_success(0.95)
    assert health.state == "doubtful"


def test_single_server_errors_keep_a_target_sound():
    health = TargetHealth()
    for i in range(200):
        if i % 50 == 0:
            health.record_error(i)
        else:
            health.record_success(i)
    assert health.state == "sound"


def test_several_server_errors_make_a_target_doubtful():
    health = TargetHealth()
    for i in range(3):
        health.record_error(i)
    assert health.state == "doubtful"


def test_target_without_idempotent_requests_is_restored():
    health = TargetHealth()
    health.record_failure(1.0)
    assert not health.allows_request(False, 0, 3.9)
    assert health.allows_request(False, 0, 4.0)


def test_gray_failures_affect_few_non_idempotent_requests():
    """Replay a load where 85 of 100 requests fail during a third of the time."""
    rng = random.Random(7)
    health, n_lost_baseline, n_lost, n_sent = TargetHealth(), 0, 0, 0
    for i in range(4000):
        now = i * 0.1
        is_gray = now % 9.0 < 2.7
        idempotent = rng.random() < 0.4
        fails = is_gray and rng.random() < 0.85
        n_lost_baseline += fails and not idempotent
        if not health.allows_request(idempotent, 0, now):
            continue
        n_sent += not idempotent
        if fails:
            n_lost += not idempotent
            health.record_failure(now)
        else:
            health.record_success(now)
    assert n_lost < n_lost_baseline / 5
    assert n_sent > 1200


def test_shedding_target_keeps_receiving_requests():
    health = TargetHealth()
    health.record_success(5.0)
    for _ in range(10):
        health.record_shed()
    assert health.allows_request(False, 2, 6.0)
    assert health.last_success_at_s < 5.0
