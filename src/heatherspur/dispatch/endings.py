"""Final answers to a request, as messages for its entry.

A refusal says "not run", so it is given only to a request that no target has got.
"""

import random
from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.dispatch.opened import Decided, Finished, OpenRequest
from heatherspur.link import messages as m

__all__ = ["answered", "not_run", "unknown"]

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
# Callers come back on a new connection, which takes some milliseconds; most wait at
# most a third of the time that they have left.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


def answered(opened: OpenRequest, answer: m.Answer, now: float) -> Iterator[NamedTuple]:
    """Pass a target's answer on.

    :param opened: The request.
    :param answer: The answer.
    :param now: Clock reading in seconds.
    """
    request = opened.request
    inputs = {
        "total_ms": round((now - request.opened_at_s) * 1000),
        "run_ms": round((now - opened.executed_at_s) * 1000),
        "status": answer.status,
    }
    yield Decided(request, "answered", "whole", "", inputs)
    yield Finished(
        request.exchange, answer.status, answer.fields, answer.body, 0.0, False
    )


def not_run(
    opened: OpenRequest, reason: str, rng: random.Random, now: float
) -> Iterator[NamedTuple]:
    """Refuse a request that no target has got.

    :param opened: The request.
    :param reason: Short name of the reason.
    :param rng: Spreads the callers that come back.
    :param now: Clock reading in seconds.
    """
    request = opened.request
    yield Decided(request, "not run", reason, "", _inputs(opened, now))
    yield Finished(
        request.exchange,
        STATUS_UNAVAILABLE,
        (),
        f"not run: {reason}\n".encode(),
        _retry_after_s(opened, rng),
        True,
    )


def unknown(opened: OpenRequest, reason: str, now: float) -> Iterator[NamedTuple]:
    """Say that a request may have run.

    :param opened: The request.
    :param reason: Short name of the reason.
    :param now: Clock reading in seconds.
    """
    request = opened.request
    status = STATUS_TIMEOUT if reason == "timeout" else STATUS_BAD_GATEWAY
    yield Decided(request, "outcome unknown", reason, "", _inputs(opened, now))
    body = f"outcome unknown: {reason}\n".encode()
    yield Finished(request.exchange, status, (), body, 0.0, True)


def _inputs(opened: OpenRequest, now: float) -> dict[str, float]:
    return {
        "waited_ms": round((now - opened.request.opened_at_s) * 1000),
        "n_asked": len(opened.asked_nodes),
        "best_wait_ms": opened.best_wait_ms,
    }


def _retry_after_s(opened: OpenRequest, rng: random.Random) -> float:
    """Return when room is expected, spread over those who come back."""
    expected_s = max(MIN_RETRY_AFTER_S, opened.best_wait_ms / 1000 / 2)
    spread = 1 + rng.random() / 2
    return min(MAX_RETRY_AFTER_S, expected_s * spread)
