"""Settings and errors of the link subpackage."""

from typing import NamedTuple

from heatherspur.core import HeatherspurError, Setting, seconds, text

__all__ = ["LINK_SETTINGS", "LinkError", "LinkSettings"]


class LinkSettings(NamedTuple):
    """Authentication and timeouts of links between nodes.

    :param fleet_secret: Shared secret that admits a node to the fleet; if empty,
        links are not authenticated.
    :param link_timeout_s: Timeout of a connection attempt, in seconds. A link whose
        handshake is incomplete is closed after twice this time.
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
    """A link message is invalid; its link is closed."""
