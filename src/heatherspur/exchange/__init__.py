"""Life cycle of a request at its entry and at its exit, without I/O."""

from heatherspur.exchange.conf import EXCHANGE_SETTINGS, ExchangeSettings
from heatherspur.exchange.entry import EntryCore
from heatherspur.exchange.entry_exchange import BODY_WINDOW_BYTES, EntryExchange
from heatherspur.exchange.gate import Arrival, ExchangeKey, ExitGate, Refuse, Start
from heatherspur.exchange.outcomes import Outcome, Refused, Unknown, reply_fields
from heatherspur.exchange.replies import (
    Decision,
    ReplyAbort,
    ReplyBody,
    ReplyEnd,
    ReplyHead,
    SendTo,
    refusal_reply,
)

__all__ = [
    "BODY_WINDOW_BYTES",
    "EXCHANGE_SETTINGS",
    "Arrival",
    "Decision",
    "EntryCore",
    "EntryExchange",
    "ExchangeKey",
    "ExchangeSettings",
    "ExitGate",
    "Outcome",
    "Refuse",
    "Refused",
    "ReplyAbort",
    "ReplyBody",
    "ReplyEnd",
    "ReplyHead",
    "SendTo",
    "Start",
    "Unknown",
    "refusal_reply",
    "reply_fields",
]
