"""Records that a node keeps in the store about the target beside it.

All nodes share one topic. The record of a member has the name of its host as key; that
of a departure has the same name after a prefix, so that a node which doesn't know
departures takes its key for a host without a valid member.

Other programs may write to the topic. A record is decoded once, completely, into a
checked type; one that isn't valid names no target, and the others hold.
"""

import logging
from collections.abc import Callable, Sequence
from typing import Any

import cbor2
from result import Err, Ok, Result

from heatherspur.core import HeatherspurError, parse_address
from heatherspur.dispatch import MAX_SEQUENCE, MAX_SLOTS, MAX_START_MS
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
# A record has seven short fields.
MAX_RECORD_BYTES = 4096
MAX_TEXT_CHARACTERS = 255

Check = Callable[[Any], Any]

logger = logging.getLogger("heatherspur.node")


class RecordError(HeatherspurError):
    """A record of the topic of members is invalid."""


def _check_text(value: Any) -> str:
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise ValueError(f"{value!r:.40} is not a text of usual length")
    return value


def _check_node(value: Any) -> str:
    address = parse_address(_check_text(value))
    if str(address) != value or not address.port:
        raise ValueError(f"{value!r:.40} is not the address of a node")
    return value


def _check_flag(value: Any) -> bool:
    if type(value) is not bool:
        raise ValueError(f"{value!r:.40} is not a flag")
    return value


def _check_integer(low: int, high: int) -> Check:
    def check(value: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"{value!r:.40} is not an integer from {low} to {high}")
        return value

    return check


MEMBER_CHECKS = (
    _check_node,
    _check_text,
    _check_text,
    _check_text,
    _check_integer(0, MAX_START_MS),
    _check_integer(1, MAX_SLOTS),
    _check_flag,
)
DEPARTURE_CHECKS = (
    _check_text,
    _check_integer(0, MAX_START_MS),
    _check_integer(0, MAX_SEQUENCE),
    _check_flag,
)


def _decode(
    key: str, value: bytes, checks: Sequence[Check]
) -> Result[list, RecordError]:
    """Decode an array and check its items.

    :param key: Key of the record, for the error.
    :param value: Value of the record.
    :param checks: A check for each item, which returns the item or raises
        ``ValueError``.
    """
    try:
        if len(value) > MAX_RECORD_BYTES:
            raise ValueError(f"{len(value)} bytes are more than {MAX_RECORD_BYTES}")
        items = cbor2.loads(value)
        if type(items) is not list or len(items) != len(checks):
            raise ValueError(f"not an array of {len(checks)} items")
        return Ok([check(item) for check, item in zip(checks, items, strict=True)])
    except (cbor2.CBORDecodeError, ValueError, OverflowError, RecursionError) as error:
        return Err(RecordError("decode record", key, str(error)))


def _log_invalid(error: RecordError) -> None:
    extra = {"key": error.peer, "reason": error.reason}
    logger.warning("node: invalid record ignored", extra=extra)


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
    decoded = _decode(host, value, MEMBER_CHECKS)
    if decoded.is_err():
        _log_invalid(decoded.err_value)
        return None
    return Member(*decoded.ok_value)


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
    decoded = _decode(key, value, DEPARTURE_CHECKS)
    if decoded.is_err():
        _log_invalid(decoded.err_value)
        return None
    return Departure(*decoded.ok_value)
