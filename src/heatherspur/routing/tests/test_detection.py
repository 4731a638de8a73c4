"""Bounds on the detection of gray targets, on generated traffic with a fixed seed."""

import pytest

from benchmarks.policy_driver import CONTESTS, PERMITS, Driver, Scenario

MAX_DETECTION_S_AT_10 = 3.0
MAX_DETECTION_S_AT_100 = 1.0
SEED = 11


@pytest.mark.parametrize("deployment", [PERMITS, CONTESTS], ids=lambda d: d.name)
@pytest.mark.parametrize(
    ("rate", "service_ms", "bound_s"),
    [(10, 20.0, MAX_DETECTION_S_AT_10), (100, 12.0, MAX_DETECTION_S_AT_100)],
)
def test_tenfold_slower_target_is_ejected_in_time(
    deployment, rate, service_ms, bound_s
):
    scenario = Scenario("slow", rate, 26.0, service_ms=service_ms)
    measures = Driver(deployment, scenario, "heatherspur", SEED).run()
    assert measures.detection_s is not None
    assert measures.detection_s <= bound_s
    assert measures.n_false == 0


@pytest.mark.parametrize("fault", ["errors", "truncating", "hang", "flapping"])
def test_other_gray_faults_are_detected(fault):
    measures = Driver(PERMITS, Scenario(fault), "heatherspur", SEED).run()
    assert measures.detection_s is not None
    assert measures.n_false == 0
    assert measures.least_in_use >= 4


@pytest.mark.parametrize(
    "fault", ["none", "all slow", "cold start", "expensive customer", "slow way"]
)
@pytest.mark.parametrize("deployment", [PERMITS, CONTESTS], ids=lambda d: d.name)
def test_no_target_is_ejected_without_a_gray_fault(deployment, fault):
    scenario = Scenario(fault, seconds=90.0)
    measures = Driver(deployment, scenario, "heatherspur", SEED).run()
    assert measures.n_false == 0
    assert measures.refused_ratio < 0.001


def test_flood_of_one_customer_does_not_delay_others():
    """One customer at five times its rate raises the others' p99 at most 1.5-fold."""
    baseline = Scenario(seconds=40.0, rate_per_target=25, service_ms=20)
    flood = baseline._replace(noisy_factor=5.0)
    before = Driver(PERMITS, baseline, "heatherspur", SEED).run()
    after = Driver(PERMITS, flood, "heatherspur", SEED).run()
    assert after.worst_p99_ms <= 1.5 * before.worst_p99_ms
    assert after.refused_ratio == 0
