"""Settings and errors of the link subpackage."""

from typing import NamedTuple

from heatherspur.core import HeatherspurError, Setting, seconds, text

__all__ = ["LINK_SETTINGS", "LinkError", "LinkSettings"]


class LinkSettings(NamedTuple):
    """How nodes talk to each other.

    :param fleet_secret: Shared secret that admits a node to the fleet.
    :param link_timeout_s: Seconds until a connection attempt, or a handshake, is
        given up.
    """

    fleet_secret: str
    link_timeout_s: float


LINK_SETTINGS: tuple[Setting, ...] = (
    text(
        "fleet_secret",
        None,
        "Shared secret that admits a node to the fleet. Prefer the variable: flags "
        "show in process lists.",
        min_length=16,
    ),
    seconds(
        "link_timeout_s",
        "2",
        0.1,
        30,
        "Time after which a connection attempt or a handshake is given up.",
    ),
)


class LinkError(HeatherspurError):
    """A link message can't be used; the link is closed."""
