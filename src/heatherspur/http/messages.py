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
    """Head of a request: request line and fields.

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
    """Head of a response: status line and fields.

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
    """The message is complete; trailers are discarded."""


class Fault(NamedTuple):
    """The peer violated the protocol; the connection can't be reused.

    :param status: Status code of the response to a caller.
    :param reason: Description of the violation.
    """

    status: int
    reason: str


HttpEvent = RequestHead | ResponseHead | BodyChunk | MessageEnd | Fault
