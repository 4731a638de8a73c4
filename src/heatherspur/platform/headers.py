"""HTTP header fields that the platform defines for requests and responses."""

from typing import NamedTuple

from result import Err, Ok, Result

from heatherspur.http import Field, FieldError, end_to_end_fields
from heatherspur.link.messages import Execute

__all__ = [
    "ResponseMetadata",
    "RequestMetadata",
    "forwarded_response_fields",
    "parse_response_metadata",
    "parse_request_metadata",
    "retry_after_field",
    "target_request_fields",
]

ATTEMPT_ID = b"heatherspur-attempt-id"
DEADLINE = b"heatherspur-deadline-ms"
# The target sets this field on responses that it generated itself. Only the presence
# of the field is checked because the platform does not document its content.
SIGNATURE = b"heatherspur-response-signature"
NOT_EXECUTED = b"heatherspur-not-executed"
CALLER_SERVICE = b"heatherspur-caller-service"
CUSTOMER = b"heatherspur-tenant"
EXPECT_TARGET = b"heatherspur-expect-instance"
AUTHORIZATION = b"authorization"
BEARER_PREFIX = b"bearer "
RETRY_AFTER = b"retry-after"
# Fields that the node sets on requests to targets; values sent by callers are removed.
NODE_SET_FIELDS = frozenset((DEADLINE, CALLER_SERVICE, CUSTOMER, EXPECT_TARGET))
DEFAULT_DEADLINE_MS = 30_000
# Longer deadlines mean this one: no route waits for as long, and a number of thousands
# of digits can't be converted.
MAX_DEADLINE_MS = 86_400_000
MAX_DEADLINE_DIGITS = 8
STATUS_MISDIRECTED = 421


class RequestMetadata(NamedTuple):
    """Values that this program reads from the head of a caller's request.

    :param attempt_id: Id that the caller assigned to the request, or empty.
    :param deadline_ms: Time until the caller's deadline, in milliseconds.
    :param key: The caller's key, or empty.
    :param host: Host without port.
    :param fields: Fields that are forwarded to the target.
    """

    attempt_id: bytes
    deadline_ms: int
    key: str
    host: str
    fields: tuple[Field, ...]


class ResponseMetadata(NamedTuple):
    """Values that this program reads from the head of a target's response.

    :param attempt_id: Id of the request that this response belongs to, or empty.
    :param signed: Whether the response carries the target's signature field.
    :param not_run: Whether the target states that it did not run the request.
    :param retry_after_s: Delay before a retry, in seconds; 0 if absent.
    :param idle_timeout_s: Idle time after which the target closes the connection, in
        seconds; 0 if absent.
    """

    attempt_id: bytes
    signed: bool
    not_run: bool
    retry_after_s: float
    idle_timeout_s: float


def _field_value(fields: tuple[Field, ...], name: bytes) -> bytes:
    return next((value for field, value in fields if field == name), b"")


def _bearer_key(value: bytes) -> str:
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")


def _deadline_ms(digits: bytes) -> int:
    digits = digits.lstrip(b"0") or digits[:1]
    if len(digits) > MAX_DEADLINE_DIGITS:
        return MAX_DEADLINE_MS
    return min(int(digits or DEFAULT_DEADLINE_MS), MAX_DEADLINE_MS)


def _without_port(host: str) -> str:
    # An IPv6 address in brackets contains colons.
    if host.endswith("]") or ":" not in host:
        return host
    return host.rpartition(":")[0]


def parse_request_metadata(
    fields: tuple[Field, ...],
) -> Result[RequestMetadata, FieldError]:
    """Parse the fields of a caller's request.

    :param fields: Fields as sent, names in lower case.
    :returns: The metadata, or a :class:`FieldError` if the deadline is malformed.
    """
    deadline = _field_value(fields, DEADLINE)
    if deadline and not deadline.isdigit():
        return Err(FieldError(400, "the deadline is no whole number of milliseconds"))
    host = _field_value(fields, b"host").decode("latin-1")
    forwarded = tuple(
        (name, value)
        for name, value in end_to_end_fields(fields)
        if name not in NODE_SET_FIELDS
        and name not in (AUTHORIZATION, ATTEMPT_ID, b"content-length")
    )
    return Ok(
        RequestMetadata(
            attempt_id=_field_value(fields, ATTEMPT_ID),
            deadline_ms=_deadline_ms(deadline),
            key=_bearer_key(_field_value(fields, AUTHORIZATION)),
            host=_without_port(host),
            fields=forwarded,
        )
    )


def target_request_fields(
    message: Execute, left_ms: int, target: str
) -> tuple[Field, ...]:
    """Return the header fields of a request that is sent to its target.

    :param message: The request.
    :param left_ms: Time until the deadline, in milliseconds.
    :param target: Id of the intended target, or empty if unknown.
    """
    fields = [
        *message.fields,
        (DEADLINE, str(left_ms).encode()),
        (CALLER_SERVICE, message.caller_service.encode()),
    ]
    if target:
        fields.append((EXPECT_TARGET, target.encode()))
    if message.attempt_id:
        fields.append((ATTEMPT_ID, message.attempt_id))
    if message.customer:
        fields.append((CUSTOMER, message.customer.encode()))
    if message.body or message.method not in ("GET", "HEAD"):
        fields.append((b"content-length", str(len(message.body)).encode()))
    return tuple(fields)


def _parse_seconds(value: bytes) -> float:
    try:
        return max(0.0, float(value))
    except ValueError:
        return 0.0


def _parse_idle_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_seconds(number)
    return 0.0


def parse_response_metadata(status: int, fields: tuple[Field, ...]) -> ResponseMetadata:
    """Parse the status and the fields of a target's response.

    Malformed durations are treated as absent.

    :param status: Status code.
    :param fields: Fields as sent, names in lower case.
    """
    names = {name for name, _ in fields}
    return ResponseMetadata(
        attempt_id=_field_value(fields, ATTEMPT_ID),
        signed=SIGNATURE in names,
        not_run=NOT_EXECUTED in names or status == STATUS_MISDIRECTED,
        retry_after_s=_parse_seconds(_field_value(fields, RETRY_AFTER)),
        idle_timeout_s=_parse_idle_timeout_s(_field_value(fields, b"keep-alive")),
    )


def forwarded_response_fields(fields: tuple[Field, ...]) -> tuple[Field, ...]:
    """Return the fields of a target's response that are forwarded to the caller.

    :param fields: Fields as sent, names in lower case.
    """
    return tuple(
        (name, value)
        for name, value in end_to_end_fields(fields)
        if name != b"content-length"
    )


def retry_after_field(retry_after_s: float) -> Field:
    """Return the ``Retry-After`` field of a response to a caller.

    :param retry_after_s: Delay before a retry, in seconds.
    """
    return RETRY_AFTER, f"{retry_after_s:.2f}".encode()
