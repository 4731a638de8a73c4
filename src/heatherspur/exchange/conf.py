"""Settings of the exchange subpackage."""

from typing import NamedTuple

from heatherspur.core import Setting, seconds

__all__ = ["EXCHANGE_SETTINGS", "ExchangeSettings"]


class ExchangeSettings(NamedTuple):
    """Times of one exchange.

    :param max_request_age_s: Greatest age that a request may have when it reaches
        its exit, by the exit's own clock.
    :param drain_s: Longest time that a stopping node waits for work in hand.
    """

    max_request_age_s: float
    drain_s: float


EXCHANGE_SETTINGS: tuple[Setting, ...] = (
    seconds(
        "max_request_age_s",
        "3",
        0.5,
        60,
        "Greatest age of a request that an exit still runs; above heartbeat_s.",
    ),
    seconds(
        "drain_s",
        "30",
        0,
        3600,
        "Longest time that a stopping node waits for work in hand.",
    ),
)
