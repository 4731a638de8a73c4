"""Settings of the limits subpackage.

The subpackage reports refusals as messages and raises no errors for them.
"""

from typing import NamedTuple

from heatherspur.core import Setting, count, seconds

__all__ = ["LIMIT_SETTINGS", "LimitSettings"]

CLOCK_DRIFT_RATIO = 0.02
SCHEDULING_MARGIN_S = 0.1


class LimitSettings(NamedTuple):
    """Times of the token leases; all nodes of a fleet need the same values.

    :param limit_shares: Number of shares in the first table.
    :param limit_proof_s: Time for which a read of the log's head, or the confirmation
        of a majority of the table's members, lets a holder grant tokens, in seconds.
    :param limit_lapse_s: Time after which leased tokens expire, in seconds.
    :param limit_wait_s: Longest time that a request waits for a token, in seconds.
    :param limit_suspect_s: Time without a message after which a holder is replaced,
        in seconds.
    :param limit_max_vouched_s: Longest time that a holder grants tokens without
        reading the log, in seconds.
    """

    limit_shares: int
    limit_proof_s: float
    limit_lapse_s: float
    limit_wait_s: float
    limit_suspect_s: float
    limit_max_vouched_s: float

    @property
    def holder_lapse_s(self) -> float:
        """Time after which a holder counts leased tokens as expired, in seconds.

        It is longer than the client's lease time, to allow for clock drift and
        scheduling delays.
        """
        return self.limit_lapse_s * (1 + CLOCK_DRIFT_RATIO) + SCHEDULING_MARGIN_S

    @property
    def takeover_wait_s(self) -> float:
        """Time from the majority's confirmation to a new holder's first grant.

        In seconds. By then, the proofs and leases of the earlier holder have expired.
        """
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
