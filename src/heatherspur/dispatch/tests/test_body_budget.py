"""Bodies of many callers in a bounded memory."""

from hypothesis import given
from hypothesis import strategies as st

from heatherspur.dispatch.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    body_limit_bytes,
)

LIMIT_BYTES = 20_000_000
CHUNK_BYTES = 60_000


def _upload(budget: BodyBudget, exchange: int, n_bytes: int) -> bool:
    """Hold a body in chunks; release it if it does not fit in."""
    for _ in range(n_bytes // CHUNK_BYTES):
        if not budget.hold(exchange, CHUNK_BYTES):
            budget.release(exchange)
            return False
    return True


def test_uploads_of_many_callers_stay_within_the_memory():
    """They were all kept, and the process was killed over its memory."""
    budget = BodyBudget(LIMIT_BYTES)
    kept = [_upload(budget, i, 7_200_000) for i in range(20)]
    assert sum(kept) == 2
    assert budget.n_held <= LIMIT_BYTES
    budget.release(0)
    assert _upload(budget, 30, 7_200_000)


def test_small_bodies_are_accepted_beside_large_ones():
    budget = BodyBudget(LIMIT_BYTES)
    assert _upload(budget, 1, 15_000_000)
    assert not _upload(budget, 2, 1_200_000)
    assert all(budget.hold(10 + i, 2500) for i in range(200))


def test_small_bodies_are_bounded_too():
    budget = BodyBudget(LIMIT_BYTES)
    kept = [budget.hold(i, SMALL_BODY_BYTES) for i in range(1000)]
    assert 0 < sum(kept) * SMALL_BODY_BYTES <= LIMIT_BYTES


def test_single_body_may_exceed_the_budget():
    """A host with little memory serves every size, one body after the other."""
    budget = BodyBudget(body_limit_bytes(100_000_000))
    assert _upload(budget, 1, 16_000_000)
    assert not _upload(budget, 2, 16_000_000)
    budget.release(1)
    assert _upload(budget, 2, 16_000_000)


STEPS = st.tuples(st.integers(1, 6), st.integers(0, 3), st.integers(1, 1_000_000))


@given(st.lists(STEPS, max_size=60))
def test_held_bytes_are_those_of_the_bodies_that_fit(steps):
    budget = BodyBudget(LIMIT_BYTES)
    n_bytes_by_exchange: dict[int, int] = {}
    for exchange, kind, n_bytes in steps:
        if kind and budget.hold(exchange, n_bytes):
            known = n_bytes_by_exchange.get(exchange, 0)
            n_bytes_by_exchange[exchange] = known + n_bytes
        else:
            budget.release(exchange)
            n_bytes_by_exchange.pop(exchange, None)
        assert budget.n_held == sum(n_bytes_by_exchange.values())
        large = [n for n in n_bytes_by_exchange.values() if n > SMALL_BODY_BYTES]
        assert len(large) <= 1 or sum(large) <= LIMIT_BYTES
    for exchange in list(n_bytes_by_exchange):
        budget.release(exchange)
    assert budget.n_held == 0
