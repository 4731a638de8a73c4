"""Search for orders of messages that break a promise of an entry and its exits.

A longer search::

    HEATHERSPUR_MODEL_SEEDS=1000:1200 pytest -n 0 \
        src/heatherspur/dispatch/tests/test_dispatch_model.py
"""

import os

import pytest

from heatherspur.dispatch.tests.dispatch_model import DispatchModel

SECONDS = 20.0
FIRST, LAST = map(int, os.environ.get("HEATHERSPUR_MODEL_SEEDS", "1:25").split(":"))
REFUSALS = (429, 503)


@pytest.mark.parametrize("seed", range(FIRST, LAST))
def test_late_and_lost_messages_break_no_promise(seed):
    """At most one run, true refusals, and one final answer by the timeout."""
    model = DispatchModel(seed).play(SECONDS)
    assert len(model.requests) > 100
    assert not model.late
    for exchange, request in model.requests.items():
        finals = model.finals.get(exchange, [])
        assert len(finals) == (exchange not in model.given_up) or len(finals) == 1
        n_runs = model.runs[request.attempt_id]
        if not request.route.idempotent:
            assert n_runs <= 1, (exchange, finals)
            assert not (n_runs and set(finals) & set(REFUSALS)), (exchange, finals)
