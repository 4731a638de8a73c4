"""Requests whose body is being received, and their refusals."""

from typing import NamedTuple

from heatherspur.http import RequestHead
from heatherspur.platform.headers import parse_request_metadata

__all__ = ["IncomingRequest", "Refusal", "request_id_of"]


class Refusal(NamedTuple):
    """Rejection of a request by this node; the request has not run.

    :param status: HTTP status code.
    :param reason: Short name of the reason.
    :param retry_after_s: Seconds until the caller should retry; 0 for no advice.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


class IncomingRequest:
    """A request whose body is being received.

    :param head: Head of the request.
    :param now: Clock reading in seconds.
    """

    def __init__(self, head: RequestHead, now: float) -> None:
        self.head = head
        self.opened_at_s = now
        self.chunks: list[bytes] = []
        self.n_bytes = 0


def request_id_of(head: RequestHead) -> str:
    """Return the request id that the caller assigned, empty if it is not valid.

    :param head: Head of the request.
    """
    parsed = parse_request_metadata(head.fields)
    return parsed.ok_value.attempt_id.decode("latin-1") if parsed.is_ok() else ""
