"""Settings of the exchange subpackage."""

from typing import NamedTuple

from heatherspur.core import Setting, seconds

__all__ = ["EXCHANGE_SETTINGS", "ExchangeSettings"]


class ExchangeSettings(NamedTuple):
    """Time limits of exchanges.

    :param max_request_age_s: Largest age of a request on arrival at its exit, by the
        exit's own clock, in seconds.
    :param drain_s: Longest time that a stopping node waits for open exchanges, in
        seconds.
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
