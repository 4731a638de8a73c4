"""Final answers to a request, as messages for its entry.

A refusal states that the request has not run, so it is only used for a request that no
target has received.
"""

import random
from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.dispatch.pending import Decision, FinalAnswer, PendingRequest
from heatherspur.link import messages as m

__all__ = ["answered", "not_run", "unknown"]

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
# Callers retry over a new connection, which takes a few milliseconds; most wait at most
# a third of their remaining time.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


def answered(
    pending: PendingRequest, answer: m.Answer, now: float
) -> Iterator[NamedTuple]:
    """Forward the answer of a target.

    :param pending: The request.
    :param answer: The answer.
    :param now: Clock reading in seconds.
    """
    request = pending.request
    inputs = {
        "total_ms": round((now - request.opened_at_s) * 1000),
        "run_ms": round((now - pending.executed_at_s) * 1000),
        "status": answer.status,
    }
    yield Decision(request, "answered", "whole", "", inputs)
    yield FinalAnswer(
        request.exchange, answer.status, answer.fields, answer.body, 0.0, False
    )


def not_run(
    pending: PendingRequest, reason: str, rng: random.Random, now: float
) -> Iterator[NamedTuple]:
    """Refuse a request that no target has received.

    :param pending: The request.
    :param reason: Short name of the reason.
    :param rng: Random source of the jitter of retries.
    :param now: Clock reading in seconds.
    """
    request = pending.request
    yield Decision(request, "not run", reason, "", _inputs(pending, now))
    yield FinalAnswer(
        request.exchange,
        STATUS_UNAVAILABLE,
        (),
        f"not run: {reason}\n".encode(),
        _retry_after_s(pending, rng),
        True,
    )


def unknown(pending: PendingRequest, reason: str, now: float) -> Iterator[NamedTuple]:
    """Report that a request may have run.

    :param pending: The request.
    :param reason: Short name of the reason.
    :param now: Clock reading in seconds.
    """
    request = pending.request
    status = STATUS_TIMEOUT if reason == "timeout" else STATUS_BAD_GATEWAY
    yield Decision(request, "outcome unknown", reason, "", _inputs(pending, now))
    body = f"outcome unknown: {reason}\n".encode()
    yield FinalAnswer(request.exchange, status, (), body, 0.0, True)


def _inputs(pending: PendingRequest, now: float) -> dict[str, float]:
    return {
        "waited_ms": round((now - pending.request.opened_at_s) * 1000),
        "n_asked": len(pending.reserved_nodes),
        "best_wait_ms": pending.best_wait_ms,
    }


def _retry_after_s(pending: PendingRequest, rng: random.Random) -> float:
    """Return the expected time until a slot is free, with jitter."""
    expected_s = max(MIN_RETRY_AFTER_S, pending.best_wait_ms / 1000 / 2)
    jitter = 1 + rng.random() / 2
    return min(MAX_RETRY_AFTER_S, expected_s * jitter)
