"""Typed events of an HTTP connection."""

from typing import NamedTuple

from heatherspur.http.fields import Field

__all__ = [
    "BodyChunk",
    "Fault",
    "HttpEvent",
    "MessageEnd",
    "RequestHead",
    "ResponseHead",
]


class RequestHead(NamedTuple):
    """Request line and fields.

    :param method: Method in capitals.
    :param target: Request target as sent.
    :param fields: Fields as sent, names in lower case.
    :param has_body: Whether a body may follow.
    :param expects_continue: Whether the caller waits for ``100 Continue``.
    """

    method: str
    target: str
    fields: tuple[Field, ...]
    has_body: bool
    expects_continue: bool


class ResponseHead(NamedTuple):
    """Status line and fields.

    :param status: Status code.
    :param fields: Fields as sent, names in lower case.
    """

    status: int
    fields: tuple[Field, ...]


class BodyChunk(NamedTuple):
    """Part of a body.

    :param data: The bytes.
    """

    data: bytes


class MessageEnd(NamedTuple):
    """The whole message has arrived; trailers are dropped."""


class Fault(NamedTuple):
    """The peer broke the protocol; the connection can't be used again.

    :param status: Status code for a caller.
    :param reason: What is wrong, in one sentence.
    """

    status: int
    reason: str


HttpEvent = RequestHead | ResponseHead | BodyChunk | MessageEnd | Fault
