"""Settings and errors of the membership subpackage."""

from typing import NamedTuple

from heatherspur.core import (
    Address,
    HeatherspurError,
    Setting,
    addresses,
    count,
    seconds,
)

__all__ = ["MEMBERSHIP_SETTINGS", "AnnouncementError", "MembershipSettings"]


class MembershipSettings(NamedTuple):
    """How nodes find and watch each other.

    :param peers: Link addresses to dial where the log gives none.
    :param heartbeat_s: Seconds between heartbeats of an idle exit.
    :param silence_s: Seconds without a heartbeat after which an exit gets no work.
    :param isolation_s: Seconds without a word from the log or any node after which
        a node takes no keyed request.
    :param forget_s: Seconds out of reach after which a node is struck off.
    :param max_links: Most nodes that a node keeps links to.
    """

    peers: tuple[Address, ...]
    heartbeat_s: float
    silence_s: float
    isolation_s: float
    forget_s: float
    max_links: int


MEMBERSHIP_SETTINGS: tuple[Setting, ...] = (
    addresses("peers", "", "Link addresses of other nodes, dialled at the start."),
    seconds(
        "heartbeat_s",
        "0.8",
        0.05,
        10,
        "Time between heartbeats of an idle exit; a busy one halves it.",
    ),
    seconds(
        "silence_s",
        "2",
        0.2,
        60,
        "Time without a heartbeat after which an exit gets no work from here.",
    ),
    seconds(
        "isolation_s",
        "3",
        0.5,
        60,
        "Time without a word from the log or any node after which no keyed request "
        "is taken.",
    ),
    seconds(
        "forget_s",
        "120",
        5,
        86400,
        "Time out of reach after which a node is struck off the list.",
    ),
    count("max_links", "64", 1, 1000, "Most nodes that this node keeps links to."),
)


class AnnouncementError(HeatherspurError):
    """A target's announcement can't be used."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("check announcement", peer, reason)
