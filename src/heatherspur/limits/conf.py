"""Settings of the limits subpackage; its refusals are messages, not errors."""

from typing import NamedTuple

from heatherspur.core import Setting, count, seconds

__all__ = ["LIMIT_SETTINGS", "LimitSettings"]

CLOCK_DRIFT_RATIO = 0.02
SCHEDULING_MARGIN_S = 0.1


class LimitSettings(NamedTuple):
    """Times of the lending of tokens. All nodes of a fleet need the same values.

    :param limit_shares: Number of shares when the first table is written.
    :param limit_proof_s: Seconds for which a word from the log, or from a majority
        of the table's members, lets a holder lend.
    :param limit_lapse_s: Seconds after which borrowed tokens lapse.
    :param limit_wait_s: Longest time that a request waits for a token.
    :param limit_suspect_s: Seconds of silence after which a holder is replaced.
    :param limit_max_vouched_s: Longest time that a holder goes on without the log.
    """

    limit_shares: int
    limit_proof_s: float
    limit_lapse_s: float
    limit_wait_s: float
    limit_suspect_s: float
    limit_max_vouched_s: float

    @property
    def holder_lapse_s(self) -> float:
        """Seconds after which a lender takes lent tokens as lapsed."""
        return self.limit_lapse_s * (1 + CLOCK_DRIFT_RATIO) + SCHEDULING_MARGIN_S

    @property
    def takeover_wait_s(self) -> float:
        """Seconds from the majority's acknowledgement to the first loan."""
        proof_s = self.limit_proof_s * (1 + CLOCK_DRIFT_RATIO) + SCHEDULING_MARGIN_S
        return proof_s + self.holder_lapse_s


LIMIT_SETTINGS: tuple[Setting, ...] = (
    count("limit_shares", "3", 1, 10, "Number of limit shares in a new fleet."),
    seconds(
        "limit_proof_s",
        "0.9",
        0.3,
        30,
        "Time for which one proof lets a holder lend tokens.",
    ),
    seconds("limit_lapse_s", "0.6", 0.2, 30, "Time after which borrowed tokens lapse."),
    seconds("limit_wait_s", "1", 0, 5, "Longest wait of a request for a token."),
    seconds(
        "limit_suspect_s",
        "1.2",
        0.5,
        60,
        "Silence after which a holder of a share is replaced.",
    ),
    seconds(
        "limit_max_vouched_s",
        "86400",
        60,
        604800,
        "Longest time that a holder lends while the log is away; keep it above the "
        "longest outage.",
    ),
)
