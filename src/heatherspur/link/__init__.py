"""Links between nodes: connections, typed messages, encoding and authentication."""

from heatherspur.link import messages
from heatherspur.link.auth import Handshake
from heatherspur.link.codec import decode, encode
from heatherspur.link.conf import LINK_SETTINGS, LinkError, LinkSettings
from heatherspur.link.hub import Link, LinkHub, LocalLink, link_down, link_up, received

__all__ = [
    "LINK_SETTINGS",
    "Handshake",
    "Link",
    "LinkError",
    "LinkHub",
    "LinkSettings",
    "LocalLink",
    "decode",
    "encode",
    "link_down",
    "link_up",
    "messages",
    "received",
]
