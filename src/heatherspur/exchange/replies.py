"""Messages that the entry core returns for exits, callers and the log."""

from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.exchange.outcomes import Outcome, Refused, reply_fields
from heatherspur.http import Field
from heatherspur.link import messages as m

__all__ = [
    "Decision",
    "ReplyAbort",
    "ReplyBody",
    "ReplyEnd",
    "ReplyHead",
    "SendTo",
    "refusal_reply",
]


class SendTo(NamedTuple):
    """Action: send a message to an exit.

    :param node: Node id of the exit.
    :param message: The message.
    """

    node: str
    message: m.Message


class ReplyHead(NamedTuple):
    """Action: start the response to the caller.

    :param exchange: Id of the exchange.
    :param status: HTTP status code.
    :param fields: Header fields.
    """

    exchange: int
    status: int
    fields: tuple[Field, ...]


class ReplyBody(NamedTuple):
    """Action: send a chunk of the response body to the caller.

    :param exchange: Id of the exchange.
    :param data: The chunk.
    """

    exchange: int
    data: bytes


class ReplyEnd(NamedTuple):
    """Action: complete the response to the caller.

    :param exchange: Id of the exchange.
    """

    exchange: int


class ReplyAbort(NamedTuple):
    """Action: break the caller's connection, because the response is incomplete.

    :param exchange: Id of the exchange.
    """

    exchange: int


class Decision(NamedTuple):
    """Event for the log: a decision on an exchange.

    :param exchange: Id of the exchange.
    :param action: Short phrase for what was decided.
    :param service: Service id.
    :param customer: Customer id.
    :param target: Target id; empty if no target is selected.
    :param reason: Short name of the reason.
    """

    exchange: int
    action: str
    service: str
    customer: str
    target: str
    reason: str


def refusal_reply(exchange_id: int, outcome: Outcome) -> Iterator[NamedTuple]:
    """Yield a complete response that reports an outcome to the caller.

    :param exchange_id: Id of the exchange.
    :param outcome: A refusal or an unknown outcome.
    :returns: Messages.
    """
    text = "not run" if isinstance(outcome, Refused) else "outcome unknown"
    body = f"{text}: {outcome.reason}\n".encode()
    fields = (
        *reply_fields(outcome),
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    )
    yield ReplyHead(exchange_id, outcome.status, fields)
    yield ReplyBody(exchange_id, body)
    yield ReplyEnd(exchange_id)
