"""What became of the requests of a run."""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

__all__ = ["Outcome", "Summary", "summarize"]


class Outcome(NamedTuple):
    """One request of a caller.

    :param at_s: When it came.
    :param route: Its route.
    :param customer: Its customer.
    :param status: HTTP status code of the final answer.
    :param took_s: Seconds until the final answer.
    :param in_time: Whether it was answered within its objective.
    :param value: Value of the answer.
    :param most: Value of an answer in time.
    """

    at_s: float
    route: str
    customer: str
    status: int
    took_s: float
    in_time: bool
    value: float
    most: float


class Summary(NamedTuple):
    """A run in figures; parts are from 0 to 1.

    :param n: Number of requests.
    :param value: Value earned, as a part of the most.
    :param in_time: Answered in time.
    :param late: Answered later.
    :param not_run: Refused, not run.
    :param unknown: Failed or outcome unknown.
    :param held_s: Mean time until a refusal, in seconds.
    :param worst_customer: Least part in time of a customer.
    :param worst_route: Least part of the value of a route.
    """

    n: int
    value: float
    in_time: float
    late: float
    not_run: float
    unknown: float
    held_s: float
    worst_customer: float
    worst_route: float


def summarize(outcomes: Sequence[Outcome]) -> Summary:
    """Return a run in figures.

    :param outcomes: The requests of callers.
    """
    good = [o for o in outcomes if o.status < 300]
    refused = [o for o in outcomes if o.status in (429, 503)]
    n = len(outcomes)
    in_time = sum(o.in_time for o in good)
    return Summary(
        n=n,
        value=sum(o.value for o in outcomes) / sum(o.most for o in outcomes),
        in_time=in_time / n,
        late=(len(good) - in_time) / n,
        not_run=len(refused) / n,
        unknown=(n - len(good) - len(refused)) / n,
        held_s=fmean(o.took_s for o in refused) if refused else 0.0,
        worst_customer=min(
            fmean(o.in_time for o in group) for group in _groups(outcomes, "customer")
        ),
        worst_route=min(
            sum(o.value for o in group) / sum(o.most for o in group)
            for group in _groups(outcomes, "route")
        ),
    )


def _groups(outcomes: Sequence[Outcome], name: str) -> list[list[Outcome]]:
    by_key: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_key.setdefault(getattr(outcome, name), []).append(outcome)
    return list(by_key.values())
