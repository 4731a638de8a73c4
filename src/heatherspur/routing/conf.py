"""Settings of the routing subpackage."""

from typing import NamedTuple

from heatherspur.core import Setting, count, seconds

__all__ = ["ROUTING_SETTINGS", "RoutingSettings"]


class RoutingSettings(NamedTuple):
    """Settings of target selection, ejection of gray targets, and retries.

    :param warm_up_s: Time during which a new target is not evaluated by the outlier
        detector and gets less traffic, in seconds.
    :param permit_lapse_s: Time after which an ejection ends unless its permit is
        renewed, in seconds.
    :param probe_delay_s: Time from an ejection to the first probe, in seconds.
    :param max_attempts: Most attempts for one request.
    :param retry_percent: Retries allowed, in percent of requests.
    """

    warm_up_s: float
    permit_lapse_s: float
    probe_delay_s: float
    max_attempts: int
    retry_percent: int


ROUTING_SETTINGS: tuple[Setting, ...] = (
    seconds(
        "warm_up_s",
        "5",
        0,
        600,
        "Time during which a new target is not judged and gets less traffic.",
    ),
    seconds(
        "permit_lapse_s",
        "3",
        0.5,
        60,
        "Time after which an ejection that is not renewed ends.",
    ),
    seconds(
        "probe_delay_s", "4", 0.2, 600, "Time from an ejection to the first probe."
    ),
    count("max_attempts", "3", 1, 10, "Most attempts for one request."),
    count("retry_percent", "20", 0, 100, "Retries allowed, in percent of requests."),
)
