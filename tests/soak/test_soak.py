"""A short seeded run; longer ones are played by hand (``python -m tests.soak.run``)."""

import pytest

from tests.soak.run import play

# Seeds that ever failed stay here, each with a line on its cause. None so far.
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_overlapping_faults(seed):
    _, broken = play(seed, 10)
    assert not broken
