"""Filters the header fields that are forwarded between callers and targets.

Hop-by-hop fields (RFC 9110, section 7.6.1) are removed, as is every field with which a
caller could claim an identity.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from urllib.parse import unquote_to_bytes, urlsplit

from result import Err, Ok, Result

from heatherspur.http.conf import FieldError

__all__ = [
    "CUSTOMER_FIELD",
    "DEADLINE_FIELD",
    "KEY_FIELD",
    "OUTCOME_FIELD",
    "SHED_FIELD",
    "CallerFields",
    "Field",
    "parse_caller_fields",
    "end_to_end_fields",
    "end_to_end_response_fields",
]

Field = tuple[bytes, bytes]

OWN_PREFIX = b"heatherspur-"
KEY_FIELD = b"heatherspur-key"
CUSTOMER_FIELD = b"heatherspur-customer"
DEADLINE_FIELD = b"heatherspur-deadline-ms"
OUTCOME_FIELD = b"heatherspur-outcome"
SHED_FIELD = b"heatherspur-shed"

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
MIN_KEY_LENGTH = 16
MAX_KEY_LENGTH = 256
MAX_DEADLINE_MS = 3_600_000


class CallerFields(NamedTuple):
    """Parsed request head: the values used by this program and the forwarded fields.

    :param key: The caller's key, or ``None``.
    :param deadline_ms: Time until the caller's deadline, in milliseconds, or ``None``.
    :param path: Request target in origin form.
    :param fields: Fields that may be forwarded to the target.
    """

    key: bytes | None
    deadline_ms: int | None
    path: str
    fields: tuple[Field, ...]


def _connection_options(fields: Iterable[Field]) -> frozenset[bytes]:
    """Return the field names that the ``Connection`` field lists, in lower case."""
    values = (value for name, value in fields if name == b"connection")
    names = (name.strip().lower() for value in values for name in value.split(b","))
    return frozenset(names)


def end_to_end_fields(fields: tuple[Field, ...]) -> Iterator[Field]:
    """Yield the end-to-end fields, that is, all but the hop-by-hop ones.

    :param fields: Fields as sent, names in lower case.
    """
    excluded = _connection_options(fields) | HOP_BY_HOP_FIELDS
    for name, value in fields:
        if name not in excluded:
            yield name, value


def _forwardable_fields(fields: tuple[Field, ...]) -> Iterator[Field]:
    for name, value in end_to_end_fields(fields):
        if not name.startswith(OWN_PREFIX):
            yield name, value


def _single_value(
    fields: Iterable[Field], name: bytes
) -> Result[bytes | None, FieldError]:
    values = [value for field, value in fields if field == name]
    if len(values) > 1:
        return Err(FieldError(400, f"field {name.decode()} is repeated"))
    return Ok(values[0] if values else None)


def _origin_form(target: str) -> Result[str, FieldError]:
    """Return the request target in origin form: path and query."""
    if target.startswith("/"):
        return Ok(target)
    if target == "*":
        return Err(FieldError(400, "request target * is not served"))
    parts = urlsplit(target)
    if parts.scheme.lower() not in ("http", "https") or "@" in parts.netloc:
        return Err(FieldError(400, "request target has an unusable form"))
    query = f"?{parts.query}" if parts.query else ""
    return Ok((parts.path or "/") + query)


def _contains_key(key: bytes, text: bytes) -> bool:
    """Return whether the text contains the key in any case, also percent-encoded.

    One or two levels of percent-encoding are detected.
    """
    folded = key.lower()
    plain = text.lower()
    if folded in plain:
        return True
    if b"%" not in plain:
        return False
    once = unquote_to_bytes(plain)
    return folded in once.lower() or folded in unquote_to_bytes(once).lower()


def _exposes_key(key: bytes, target: str, fields: Iterable[Field]) -> bool:
    if _contains_key(key, target.encode("latin-1")):
        return True
    return any(
        _contains_key(key, name) or _contains_key(key, value) for name, value in fields
    )


def _parse_deadline_ms(value: bytes | None) -> Result[int | None, FieldError]:
    if value is None:
        return Ok(None)
    if not value.isdigit() or not 0 < int(value[:12]) <= MAX_DEADLINE_MS:
        return Err(FieldError(400, f"{DEADLINE_FIELD.decode()} is no number of ms"))
    return Ok(int(value))


def parse_caller_fields(target: str, fields: tuple[Field, ...]) -> Result:
    """Parse the target and the fields of a caller's request.

    The key is read only from its own field. A request that repeats the key elsewhere in
    its head is refused, because that part would be forwarded to the target.

    :param target: Request target as sent.
    :param fields: Fields as sent, names in lower case.
    :returns: :class:`CallerFields`, or a :class:`FieldError`.
    """
    path = _origin_form(target)
    key = _single_value(fields, KEY_FIELD)
    deadline = _single_value(fields, DEADLINE_FIELD).and_then(_parse_deadline_ms)
    for outcome in (path, key, deadline):
        if outcome.is_err():
            return outcome
    forwardable = tuple(_forwardable_fields(fields))
    secret = key.ok_value
    if secret is not None:
        if not MIN_KEY_LENGTH <= len(secret) <= MAX_KEY_LENGTH:
            return Err(FieldError(401, "the key has a wrong length"))
        if _exposes_key(secret, target, forwardable):
            reason = f"the key may stand in the field {KEY_FIELD.decode()} only"
            return Err(FieldError(400, reason))
    return Ok(CallerFields(secret, deadline.ok_value, path.ok_value, forwardable))


def end_to_end_response_fields(fields: tuple[Field, ...]) -> tuple[Field, ...]:
    """Return the fields of a target's response that may be forwarded to the caller.

    :param fields: Fields as sent, names in lower case.
    :returns: The fields without hop-by-hop fields and fields of this program.
    """
    return tuple(_forwardable_fields(fields))
