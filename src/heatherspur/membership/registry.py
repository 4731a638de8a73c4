"""Registry of the targets on this node's host, each registered under a lease."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from circuits import Event
from result import Err, Ok, Result

from heatherspur.core import Address, parse_address
from heatherspur.membership.conf import AnnouncementError

__all__ = [
    "Announcement",
    "TargetChanged",
    "TargetRegistry",
    "announced",
    "parse_announcement",
]

MAX_SLOTS = 1024
MAX_LEASE_S = 10.0
MIN_LEASE_S = 0.2
STATES = ("ready", "draining")


class Announcement(NamedTuple):
    """Announcement by which a target registers or renews its lease.

    :param target: Target id.
    :param service: Service id.
    :param address: Address on which the target accepts requests.
    :param slots: Number of requests that the target processes concurrently.
    :param state: ``"ready"`` or ``"draining"``.
    :param lease_s: Duration of the lease in seconds.
    """

    target: str
    service: str
    address: Address
    slots: int
    state: str
    lease_s: float


class announced(Event):  # noqa: N801 - circuits names events in lower case
    """Event: a target announced itself.

    :param announcement: An :class:`Announcement`.
    """


class TargetChanged(NamedTuple):
    """Change of a registered target.

    :param announcement: Newest announcement of the target.
    :param state: ``"ready"``, ``"draining"`` or ``"gone"``.
    """

    announcement: Announcement
    state: str


def parse_announcement(fields: Any, peer: str) -> Result:
    """Validate an announcement.

    :param fields: Fields of the announcement, as read from JSON.
    :param peer: Address of the sender, for the error.
    :returns: An :class:`Announcement`, or an :class:`AnnouncementError`.
    """
    if not isinstance(fields, dict):
        return Err(AnnouncementError(peer, "expected an object"))
    for name in ("target", "service", "address"):
        value = fields.get(name)
        if not isinstance(value, str) or not 0 < len(value) <= 100:
            return Err(AnnouncementError(peer, f"{name} is {value!r}: expected a text"))
    try:
        address = parse_address(fields["address"])
    except ValueError:
        reason = f"address is {fields['address']!r}: expected IP:PORT"
        return Err(AnnouncementError(peer, reason))
    slots = fields.get("slots")
    if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
        reason = f"slots is {slots!r}: expected a whole number from 1 to {MAX_SLOTS}"
        return Err(AnnouncementError(peer, reason))
    state = fields.get("state", "ready")
    if state not in STATES:
        reason = f"state is {state!r}: expected {' or '.join(STATES)}"
        return Err(AnnouncementError(peer, reason))
    lease_s = fields.get("lease_s", 3.0)
    if type(lease_s) not in (int, float) or not MIN_LEASE_S <= lease_s <= MAX_LEASE_S:
        reason = f"lease_s is {lease_s!r}: expected {MIN_LEASE_S} to {MAX_LEASE_S}"
        return Err(AnnouncementError(peer, reason))
    parts = (fields["target"], fields["service"], address, slots, state)
    return Ok(Announcement(*parts, float(lease_s)))


class TargetRegistry:
    """Leases of the targets on this node's host."""

    def __init__(self) -> None:
        self.announcements_by_target: dict[str, Announcement] = {}
        self._expiry_s_by_target: dict[str, float] = {}

    def announce(self, announcement: Announcement, now: float) -> list[TargetChanged]:
        """Register a target or renew its lease.

        :param announcement: Announcement of the target.
        :param now: Clock reading in seconds.
        :returns: The change, or nothing if only the lease was renewed.
        """
        known = self.announcements_by_target.get(announcement.target)
        self.announcements_by_target[announcement.target] = announcement
        self._expiry_s_by_target[announcement.target] = now + announcement.lease_s
        if known == announcement:
            return []
        return [TargetChanged(announcement, announcement.state)]

    def expire(self, now: float) -> Iterator[TargetChanged]:
        """Remove the targets whose lease has expired.

        :param now: Clock reading in seconds.
        :returns: One change per removed target.
        """
        for target, expires_at_s in list(self._expiry_s_by_target.items()):
            if expires_at_s <= now:
                del self._expiry_s_by_target[target]
                announcement = self.announcements_by_target.pop(target)
                yield TargetChanged(announcement, "gone")
