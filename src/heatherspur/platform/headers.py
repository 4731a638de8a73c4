"""The platform's fields in requests and answers."""

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
# The server's proof that it made the answer; its content is not documented.
SIGNATURE = b"heatherspur-response-signature"
NOT_EXECUTED = b"heatherspur-not-executed"
CALLER_SERVICE = b"heatherspur-caller-service"
CUSTOMER = b"heatherspur-tenant"
EXPECT_TARGET = b"heatherspur-expect-instance"
AUTHORIZATION = b"authorization"
SCHEME = b"bearer "
RETRY_AFTER = b"retry-after"
SET_BY_NODE = frozenset((DEADLINE, CALLER_SERVICE, CUSTOMER, EXPECT_TARGET))
DEFAULT_DEADLINE_MS = 30_000
STATUS_MISDIRECTED = 421


class RequestMetadata(NamedTuple):
    """What a request head says to this program.

    :param attempt_id: Caller's id of the request; empty if it has none.
    :param deadline_ms: How long the caller waits, in milliseconds.
    :param key: The caller's key; empty if it has none.
    :param host: Host without port.
    :param fields: Fields that pass to the target.
    """

    attempt_id: bytes
    deadline_ms: int
    key: str
    host: str
    fields: tuple[Field, ...]


class ResponseMetadata(NamedTuple):
    """What an answer's head says to this program.

    :param attempt_id: Id of the request that it answers; empty if it has none.
    :param signed: Whether the target vouches for having made it.
    :param not_run: Whether the target states that it did not run the request.
    :param retry_after_s: When to come back, in seconds; 0 if not told.
    :param idle_timeout_s: When the target closes an idle connection, in seconds;
        0 if not told.
    """

    attempt_id: bytes
    signed: bool
    not_run: bool
    retry_after_s: float
    idle_timeout_s: float


def _value(fields: tuple[Field, ...], name: bytes) -> bytes:
    return next((value for field, value in fields if field == name), b"")


def _key(value: bytes) -> str:
    if value[: len(SCHEME)].lower() != SCHEME:
        return ""
    return value[len(SCHEME) :].strip().decode("latin-1")


def parse_request_metadata(
    fields: tuple[Field, ...],
) -> Result[RequestMetadata, FieldError]:
    """Sort the fields of a caller's request.

    :param fields: Fields as sent, names in lower case.
    """
    deadline = _value(fields, DEADLINE)
    if deadline and not deadline.isdigit():
        return Err(FieldError(400, "the deadline is no whole number of milliseconds"))
    host = _value(fields, b"host").decode("latin-1")
    passing = tuple(
        (name, value)
        for name, value in end_to_end_fields(fields)
        if name not in SET_BY_NODE
        and name not in (AUTHORIZATION, ATTEMPT_ID, b"content-length")
    )
    return Ok(
        RequestMetadata(
            attempt_id=_value(fields, ATTEMPT_ID),
            deadline_ms=int(deadline or DEFAULT_DEADLINE_MS),
            key=_key(_value(fields, AUTHORIZATION)),
            host=host.rpartition(":")[0] if ":" in host else host,
            fields=passing,
        )
    )


def target_request_fields(
    message: Execute, left_ms: int, target: str
) -> tuple[Field, ...]:
    """Return the fields of a request as its target gets them.

    :param message: The request.
    :param left_ms: Time left, in milliseconds.
    :param target: Id of the target that is meant; empty if it is not known.
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


def _seconds(value: bytes) -> float:
    try:
        return max(0.0, float(value))
    except ValueError:
        return 0.0


def _idle_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _seconds(number)
    return 0.0


def parse_response_metadata(status: int, fields: tuple[Field, ...]) -> ResponseMetadata:
    """Return what a target's answer says to this program.

    :param status: Status code.
    :param fields: Fields as sent, names in lower case.
    """
    names = {name for name, _ in fields}
    return ResponseMetadata(
        attempt_id=_value(fields, ATTEMPT_ID),
        signed=SIGNATURE in names,
        not_run=NOT_EXECUTED in names or status == STATUS_MISDIRECTED,
        retry_after_s=_seconds(_value(fields, RETRY_AFTER)),
        idle_timeout_s=_idle_timeout_s(_value(fields, b"keep-alive")),
    )


def forwarded_response_fields(fields: tuple[Field, ...]) -> tuple[Field, ...]:
    """Return the fields of a target's answer that pass to the caller.

    :param fields: Fields as sent, names in lower case.
    """
    return tuple(
        (name, value)
        for name, value in end_to_end_fields(fields)
        if name != b"content-length"
    )


def retry_after_field(retry_after_s: float) -> Field:
    """Return the field that tells a caller when to come back.

    :param retry_after_s: Seconds from now.
    """
    return RETRY_AFTER, f"{retry_after_s:.2f}".encode()
