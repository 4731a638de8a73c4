"""Tests of the site emulator and a comparison of the policies that it runs."""

from pathlib import Path

import pytest

from benchmarks.emulator import POLICIES_BY_NAME, World, load_site, summarize

SITE = Path(__file__).parents[1] / "benchmarks" / "sites" / "permits.toml"


@pytest.fixture(scope="module")
def site():
    return load_site(SITE).ok_value._replace(seconds=16.0)


def _summary(site, policy: str, seed: int = 1):
    return summarize(World(site, POLICIES_BY_NAME[policy], seed).play())


def test_runs_with_equal_seeds_are_equal(site):
    first, second = (World(site, POLICIES_BY_NAME["first come"], 7) for _ in range(2))
    assert first.play() == second.play()


def test_every_request_gets_exactly_one_outcome(site):
    summary = _summary(site, "heatherspur")
    total = summary.in_time + summary.late + summary.not_run + summary.unknown
    assert total == pytest.approx(1.0)


@pytest.mark.parametrize("baseline", ["first come", "earliest objective"])
def test_policy_scores_higher_than_the_baselines(site, baseline):
    ours, theirs = _summary(site, "heatherspur"), _summary(site, baseline)
    assert ours.value > theirs.value
    assert ours.worst_customer > theirs.worst_customer


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ('service = "trails"', 'service = "trials"', "unknown service 'trials'"),
        ('route = "quota-read"', 'route = "no-read"', "unknown route 'no-read'"),
        ('kind = "slow"', 'kind = "sloth"', "unknown kind of trouble: 'sloth'"),
        ("zones = [", "zones [", "Expected"),
        ("per_s = 13.0", "rate = 13.0", "rate"),
    ],
)
def test_invalid_site_file_is_rejected_with_the_reason(tmp_path, old, new, reason):
    path = tmp_path / "site.toml"
    path.write_text(SITE.read_text().replace(old, new))
    error = load_site(path).err_value
    assert reason in str(error)
    assert str(path) in str(error)
