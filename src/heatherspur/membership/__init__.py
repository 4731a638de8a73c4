"""Registration of announced targets and failure detection of peer nodes."""

from heatherspur.membership.conf import (
    MEMBERSHIP_SETTINGS,
    AnnouncementError,
    MembershipSettings,
)
from heatherspur.membership.peers import Dial, Peer, PeerTable, RemoveNode
from heatherspur.membership.registry import (
    Announcement,
    TargetChanged,
    TargetRegistry,
    announced,
    parse_announcement,
)

__all__ = [
    "MEMBERSHIP_SETTINGS",
    "Announcement",
    "AnnouncementError",
    "Dial",
    "MembershipSettings",
    "Peer",
    "PeerTable",
    "RemoveNode",
    "TargetChanged",
    "TargetRegistry",
    "announced",
    "parse_announcement",
]
