"""Records the outcomes of the requests of a run and computes summary figures."""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

__all__ = ["Outcome", "Summary", "summarize"]


class Outcome(NamedTuple):
    """The outcome of one request of a caller.

    :param at_s: Arrival time, in seconds since the start of the run.
    :param route: Name of its route.
    :param customer: Name of its customer.
    :param status: HTTP status code of the final answer.
    :param latency_s: Latency of the final answer, in seconds.
    :param in_time: Whether it was answered successfully within its latency objective.
    :param value: Value earned by the answer.
    :param max_value: Value that an answer within the objective earns.
    """

    at_s: float
    route: str
    customer: str
    status: int
    latency_s: float
    in_time: bool
    value: float
    max_value: float


class Summary(NamedTuple):
    """Summary figures of a run; ratios are from 0 to 1.

    :param n: Number of requests.
    :param value: Ratio of the value earned to the maximum value.
    :param in_time: Ratio of requests answered within their objective.
    :param late: Ratio of requests answered after their objective.
    :param not_run: Ratio of requests refused without being run.
    :param unknown: Ratio of requests that failed or whose outcome is unknown.
    :param mean_refusal_s: Mean latency of a refusal, in seconds.
    :param worst_customer: Lowest ratio of requests in time of any customer.
    :param worst_route: Lowest ratio of earned to maximum value of any route.
    """

    n: int
    value: float
    in_time: float
    late: float
    not_run: float
    unknown: float
    mean_refusal_s: float
    worst_customer: float
    worst_route: float


def summarize(outcomes: Sequence[Outcome]) -> Summary:
    """Return the summary figures of a run.

    :param outcomes: Outcomes of the requests of callers; at least one.
    """
    good = [o for o in outcomes if o.status < 300]
    refused = [o for o in outcomes if o.status in (429, 503)]
    n = len(outcomes)
    in_time = sum(o.in_time for o in good)
    return Summary(
        n=n,
        value=sum(o.value for o in outcomes) / sum(o.max_value for o in outcomes),
        in_time=in_time / n,
        late=(len(good) - in_time) / n,
        not_run=len(refused) / n,
        unknown=(n - len(good) - len(refused)) / n,
        mean_refusal_s=fmean(o.latency_s for o in refused) if refused else 0.0,
        worst_customer=min(
            fmean(o.in_time for o in group) for group in _group_by(outcomes, "customer")
        ),
        worst_route=min(
            sum(o.value for o in group) / sum(o.max_value for o in group)
            for group in _group_by(outcomes, "route")
        ),
    )


def _group_by(outcomes: Sequence[Outcome], name: str) -> list[list[Outcome]]:
    by_key: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_key.setdefault(getattr(outcome, name), []).append(outcome)
    return list(by_key.values())
