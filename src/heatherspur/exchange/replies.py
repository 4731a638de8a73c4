"""Messages that an entry's core gives: to exits, to callers, to the log."""

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
    """Send a message to an exit.

    :param node: Node id of the exit.
    :param message: The message.
    """

    node: str
    message: m.Message


class ReplyHead(NamedTuple):
    """Start the response to the caller.

    :param exchange: Id of the exchange.
    :param status: HTTP status code.
    :param fields: Fields.
    """

    exchange: int
    status: int
    fields: tuple[Field, ...]


class ReplyBody(NamedTuple):
    """Pass on a part of the body.

    :param exchange: Id of the exchange.
    :param data: The part.
    """

    exchange: int
    data: bytes


class ReplyEnd(NamedTuple):
    """End the response cleanly.

    :param exchange: Id of the exchange.
    """

    exchange: int


class ReplyAbort(NamedTuple):
    """Break the caller's connection, since the answer is not whole.

    :param exchange: Id of the exchange.
    """

    exchange: int


class Decision(NamedTuple):
    """A routing decision, for the log.

    :param exchange: Id of the exchange.
    :param action: Short phrase.
    :param service: Service id.
    :param customer: Customer id.
    :param target: Target id, if one was chosen.
    :param reason: Short name of the reason.
    """

    exchange: int
    action: str
    service: str
    customer: str
    target: str
    reason: str


def refusal_reply(exchange_id: int, outcome: Outcome) -> Iterator[NamedTuple]:
    """Yield a whole response that tells a caller about an outcome.

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
