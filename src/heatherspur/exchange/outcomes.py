"""The three outcomes of an exchange, and the response fields that report them.

The field ``Heatherspur-Outcome`` is ``answered``, ``not-run`` or ``unknown``;
``Proxy-Status`` (RFC 9209) gives the reason.
"""

import math
from functools import singledispatch
from typing import NamedTuple

from heatherspur.http import OUTCOME_FIELD, Field

__all__ = ["Answered", "Outcome", "Refused", "Unknown", "reply_fields"]

ERROR_BY_REASON = {
    "no-target": "destination_unavailable",
    "deadline": "connection_timeout",
    "response-timeout": "connection_timeout",
    "link-lost": "connection_terminated",
    "truncated": "http_response_incomplete",
    "target-protocol": "http_protocol_error",
    "target-lost": "connection_terminated",
}
DEFAULT_ERROR = "proxy_internal_response"
RETRY_AFTER_FIELD = b"retry-after"
PROXY_STATUS_FIELD = b"proxy-status"


class Answered(NamedTuple):
    """The target's response is passed to the caller."""


class Refused(NamedTuple):
    """The request did not run and will not run.

    :param status: HTTP status code.
    :param reason: Short name of the reason.
    :param retry_after_s: Time after which the caller may retry, in seconds; 0 if a
        retry is of no use.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


class Unknown(NamedTuple):
    """It is unknown whether the request ran.

    :param status: HTTP status code.
    :param reason: Short name of the reason.
    """

    status: int
    reason: str


Outcome = Answered | Refused | Unknown


def _proxy_status(reason: str) -> Field:
    error = ERROR_BY_REASON.get(reason, DEFAULT_ERROR)
    value = f'heatherspur; error={error}; details="{reason}"'
    return PROXY_STATUS_FIELD, value.encode()


@singledispatch
def reply_fields(outcome: Outcome) -> tuple[Field, ...]:
    """Return the response fields that report an outcome to the caller.

    :param outcome: The outcome.
    :raises TypeError: If the argument is not an outcome.
    """
    raise TypeError(f"{outcome!r} is not an outcome of an exchange")


@reply_fields.register
def _answered(outcome: Answered) -> tuple[Field, ...]:
    return ((OUTCOME_FIELD, b"answered"),)


@reply_fields.register
def _refused(outcome: Refused) -> tuple[Field, ...]:
    fields = ((OUTCOME_FIELD, b"not-run"), _proxy_status(outcome.reason))
    if outcome.retry_after_s <= 0:
        return fields
    seconds = str(math.ceil(outcome.retry_after_s)).encode()
    return (*fields, (RETRY_AFTER_FIELD, seconds))


@reply_fields.register
def _unknown(outcome: Unknown) -> tuple[Field, ...]:
    return ((OUTCOME_FIELD, b"unknown"), _proxy_status(outcome.reason))
