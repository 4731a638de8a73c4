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
    """Settings of peer discovery and failure detection.

    :param peers: Link addresses of the seed nodes, dialled in addition to the nodes
        in the log.
    :param heartbeat_s: Seconds between heartbeats of an idle exit.
    :param silence_s: Seconds without a heartbeat after which an exit receives no
        requests.
    :param isolation_s: Seconds without contact to the log or any node after which
        a node admits no keyed requests.
    :param forget_s: Seconds without contact after which a node is removed from the
        catalogue.
    :param max_links: Maximum number of nodes that a node keeps links to.
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
    """A target's announcement is invalid."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("check announcement", peer, reason)
