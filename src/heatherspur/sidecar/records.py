"""Records that a node keeps in the store about the target beside it.

All nodes share one topic. The record of a member has the name of its host as key; that
of a departure has the same name after a prefix, so that a node which doesn't know
departures takes its key for a host without a valid member.
"""

import logging

import cbor2

from heatherspur.dispatch.departures import Departure
from heatherspur.dispatch.fleet import Member

__all__ = [
    "MEMBERS_TOPIC",
    "decode_departure",
    "decode_member",
    "departure_key",
    "encode_departure",
    "encode_member",
    "is_departure_key",
]

MEMBERS_TOPIC = "keyed.members"
DEPARTURE_PREFIX = "departure/"

logger = logging.getLogger("heatherspur.node")


def encode_member(member: Member) -> bytes:
    """Return the value of a member's record.

    :param member: The member.
    """
    return cbor2.dumps(list(member))


def decode_member(host: str, value: bytes) -> Member | None:
    """Decode the record of a fleet member.

    :param host: Key of the record.
    :param value: Value of the record; empty if it was deleted.
    :returns: The member, or ``None`` if the record is empty or invalid.
    """
    if not value:
        return None
    try:
        node, zone, service, target, started_at_ms, slots, ready = cbor2.loads(value)
        return Member(
            str(node),
            str(zone),
            str(service),
            str(target),
            int(started_at_ms),
            int(slots),
            bool(ready),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        extra = {"host": host, "reason": str(error)}
        logger.warning("node: invalid member record ignored", extra=extra)
        return None


def departure_key(host: str) -> str:
    """Return the key of a departure's record.

    :param host: Name of the host.
    """
    return DEPARTURE_PREFIX + host


def is_departure_key(key: str) -> bool:
    """Return whether a key is that of a departure's record.

    :param key: Key of any record in the topic.
    """
    return key.startswith(DEPARTURE_PREFIX)


def encode_departure(departure: Departure) -> bytes:
    """Return the value of a departure's record.

    :param departure: The departure.
    """
    return cbor2.dumps(list(departure))


def decode_departure(key: str, value: bytes) -> Departure | None:
    """Decode the record of a departure.

    :param key: Key of the record.
    :param value: Value of the record; empty if it was deleted.
    :returns: The departure, or ``None`` if the record is empty or invalid.
    """
    if not value:
        return None
    try:
        target, started_at_ms, sequence, gone = cbor2.loads(value)
        return Departure(str(target), int(started_at_ms), int(sequence), bool(gone))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        extra = {"key": key, "reason": str(error)}
        logger.warning("node: invalid departure record ignored", extra=extra)
        return None
