"""Typed messages between nodes.

The node that opens a link is its *entry* side and sends requests; the node that
accepted it is the *exit* side. A message is encoded as a CBOR array: its code in
:data:`CODES`, then its fields in order.
"""

from typing import NamedTuple

from heatherspur.link.feed_messages import (
    FeedEndOffset,
    FeedHeartbeat,
    FeedRecord,
    FeedRecords,
    FeedRequest,
)
from heatherspur.link.reservations import (
    Answer,
    Decline,
    Execute,
    Failed,
    Grant,
    NotRun,
    Queued,
    Reserve,
    Resume,
    Withdraw,
)

__all__ = [
    "CODES",
    "Answer",
    "Cancel",
    "Credit",
    "Decline",
    "Execute",
    "Failed",
    "Failure",
    "FeedRequest",
    "FeedHeartbeat",
    "FeedEndOffset",
    "FeedRecord",
    "FeedRecords",
    "Grant",
    "Heartbeat",
    "Hello",
    "Message",
    "NotRun",
    "PermitResponse",
    "PermitRequest",
    "Ping",
    "Proof",
    "Queued",
    "RecordItem",
    "Records",
    "RecordsRequest",
    "Refusal",
    "RequestBody",
    "RequestEnd",
    "RequestHead",
    "Reserve",
    "Resume",
    "ResponseBody",
    "ResponseEnd",
    "ResponseHead",
    "Settlement",
    "StateSnapshot",
    "TargetReport",
    "TokenRequest",
    "TokenGrant",
    "TokenSettlement",
    "TableConfirmation",
    "TableQuery",
    "Withdraw",
]


class Hello(NamedTuple):
    """First message of both sides.

    :param version: Version of the link protocol.
    :param node: Node id.
    :param incarnation: Random word that a process draws at its start.
    :param zone: Zone of the node.
    :param nonce: Fresh random bytes for the proof.
    """

    version: int
    node: str
    incarnation: str
    zone: str
    nonce: bytes


class Proof(NamedTuple):
    """Shows knowledge of the fleet's secret.

    :param mac: Message authentication code over both hellos.
    """

    mac: bytes


class TargetReport(NamedTuple):
    """What an exit tells about one of its targets.

    :param target: Target id.
    :param service: Service id.
    :param slots: Requests that the target runs at a time.
    :param n_busy: Slots in use.
    :param n_queued: Requests that wait at the exit.
    :param state: State in the target chart.
    :param log_ms_mean: Mean of the natural logarithm of the service time in
        milliseconds over recent requests.
    :param log_ms_spread: Standard deviation of that logarithm.
    :param bad_ratio: Recent share of failed or very slow requests, 0 to 1.
    :param n_total: Requests finished since the exit started.
    """

    target: str
    service: str
    slots: int
    n_busy: int
    n_queued: int
    state: str
    log_ms_mean: float
    log_ms_spread: float
    bad_ratio: float
    n_total: int


class Ping(NamedTuple):
    """Sent by the entry side at a fixed interval; the next heartbeat echoes it.

    :param clock_s: The entry's own clock, in seconds.
    """

    clock_s: float


class Heartbeat(NamedTuple):
    """Sent by the exit side at a fixed interval.

    :param clock_s: The exit's own clock, in seconds.
    :param echo_s: Newest clock reading that came in a :class:`Ping` over this link;
        0 if none came.
    :param offset: Log offset up to which the exit applied records.
    :param head_age_s: Age of the exit's newest word from the log, in seconds,
        its own or heard from a peer.
    :param targets: One report a target.
    """

    clock_s: float
    echo_s: float
    offset: int
    head_age_s: float
    targets: tuple[TargetReport, ...]


class RequestHead(NamedTuple):
    """A request from entry to exit.

    :param number: Number of the exchange, rising for each entry incarnation.
    :param incarnation: Exit incarnation that the request is meant for.
    :param echo_clock_s: Newest clock reading that the entry holds of the exit.
    :param target: Target id.
    :param service: Service id.
    :param offset: Log offset up to which the entry applied records.
    :param customer: Customer id; empty where no key came.
    :param key_digest: Digest of the caller's key; empty where no key came.
    :param method: Method in capitals.
    :param path: Request target in origin form.
    :param fields: Fields that pass to the target.
    :param deadline_ms: Time left for the whole exchange, in milliseconds.
    :param idempotent: Whether the request may run again.
    :param has_body: Whether a body follows.
    """

    number: int
    incarnation: str
    echo_clock_s: float
    target: str
    service: str
    offset: int
    customer: str
    key_digest: bytes
    method: str
    path: str
    fields: tuple[tuple[bytes, bytes], ...]
    deadline_ms: int
    idempotent: bool
    has_body: bool


class RequestBody(NamedTuple):
    """Part of a request's body."""

    number: int
    data: bytes


class RequestEnd(NamedTuple):
    """The request is whole."""

    number: int


class Cancel(NamedTuple):
    """Nobody waits for the answer any more."""

    number: int


class Credit(NamedTuple):
    """The receiver took bytes of a body and can take as many more.

    :param number: Number of the exchange.
    :param n_bytes: Bytes taken.
    """

    number: int
    n_bytes: int


class Refusal(NamedTuple):
    """The exit did not run the request and never will.

    :param number: Number of the exchange.
    :param reason: Short name of the reason.
    :param retry_after_ms: When to try again, in milliseconds.
    """

    number: int
    reason: str
    retry_after_ms: int


class Failure(NamedTuple):
    """The request was handed to the target and no whole answer came.

    :param number: Number of the exchange.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class ResponseHead(NamedTuple):
    """Head of the target's answer.

    :param number: Number of the exchange.
    :param status: HTTP status code.
    :param fields: Fields that may pass to the caller.
    :param queue_ms: Time that the request waited at the exit, in milliseconds.
    :param service_ms: Time from hand-over to this head, in milliseconds.
    :param n_load: Requests that run or wait at the target.
    """

    number: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    queue_ms: float
    service_ms: float
    n_load: int


class ResponseBody(NamedTuple):
    """Part of the answer's body."""

    number: int
    data: bytes


class ResponseEnd(NamedTuple):
    """The answer is whole."""

    number: int


class RecordsRequest(NamedTuple):
    """Asks a peer for log records.

    :param offset: First offset wanted.
    """

    offset: int


class RecordItem(NamedTuple):
    """One log record.

    :param offset: Its offset.
    :param value: Its text.
    """

    offset: int
    value: str


class Records(NamedTuple):
    """Consecutive log records from a peer."""

    items: tuple[RecordItem, ...]


class StateSnapshot(NamedTuple):
    """A peer's whole catalogue state.

    :param offset: Offset after the last record that the state holds.
    :param state: The state as text.
    """

    offset: int
    state: str


class TokenRequest(NamedTuple):
    """Asks a share holder for tokens of a customer.

    :param loan: Number of the loan, rising for each borrower incarnation.
    :param share: Index of the share asked.
    :param customer: Customer id.
    :param amount: Tokens wanted.
    """

    loan: int
    share: int
    customer: str
    amount: int


class TokenGrant(NamedTuple):
    """Answers a :class:`TokenRequest`.

    :param loan: Number of the loan.
    :param share: Index of the share.
    :param customer: Customer id.
    :param amount: Tokens lent; may be 0.
    :param wait_ms: Time until the tokens lent may be used, or until one is expected
        where none is lent, in milliseconds; 0 where the node asked may not lend now.
    """

    loan: int
    share: int
    customer: str
    amount: int
    wait_ms: int


class Settlement(NamedTuple):
    """What became of one loan.

    :param loan: Number of the loan.
    :param spent: Tokens spent since the last settlement.
    :param returned: Tokens given back.
    """

    loan: int
    spent: int
    returned: int


class TokenSettlement(NamedTuple):
    """Reports spent and unspent tokens to their holder.

    :param share: Index of the share.
    :param items: One settlement a loan.
    """

    share: int
    items: tuple[Settlement, ...]


class TableQuery(NamedTuple):
    """Asks a table member whether it still knows no newer table.

    :param round: Number of the question.
    :param epoch: Epoch of the asker's table.
    """

    round: int
    epoch: int


class TableConfirmation(NamedTuple):
    """Answers a :class:`TableQuery`.

    :param round: Number of the question.
    :param epoch: Newest table that the member applied; 0 while it may not vouch.
    """

    round: int
    epoch: int


class PermitRequest(NamedTuple):
    """Asks the permit holder of a service to keep a target ejected for a while.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the question.
    """

    service: str
    target: str
    round: int


class PermitResponse(NamedTuple):
    """Answers a :class:`PermitRequest`.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the question.
    :param granted: Whether the target may be out until the lease lapses.
    """

    service: str
    target: str
    round: int
    granted: bool


Message = (
    Hello
    | Proof
    | Ping
    | Heartbeat
    | RequestHead
    | RequestBody
    | RequestEnd
    | Cancel
    | Credit
    | Refusal
    | Failure
    | ResponseHead
    | ResponseBody
    | ResponseEnd
    | RecordsRequest
    | Records
    | StateSnapshot
    | TokenRequest
    | TokenGrant
    | TokenSettlement
    | TableQuery
    | TableConfirmation
    | PermitRequest
    | PermitResponse
    | Reserve
    | Queued
    | Grant
    | Decline
    | Withdraw
    | Execute
    | NotRun
    | Failed
    | Answer
    | Resume
    | FeedRecords
    | FeedHeartbeat
    | FeedEndOffset
    | FeedRequest
)

CODES: dict[type, int] = {
    Hello: 1,
    Proof: 2,
    Heartbeat: 3,
    Ping: 4,
    RequestHead: 10,
    RequestBody: 11,
    RequestEnd: 12,
    Cancel: 13,
    Credit: 14,
    Refusal: 15,
    Failure: 16,
    ResponseHead: 17,
    ResponseBody: 18,
    ResponseEnd: 19,
    RecordsRequest: 30,
    Records: 31,
    StateSnapshot: 32,
    TokenRequest: 40,
    TokenGrant: 41,
    TokenSettlement: 42,
    TableQuery: 43,
    TableConfirmation: 44,
    PermitRequest: 50,
    PermitResponse: 51,
    Reserve: 60,
    Queued: 61,
    Grant: 62,
    Decline: 63,
    Withdraw: 64,
    Execute: 65,
    NotRun: 66,
    Failed: 67,
    Answer: 68,
    Resume: 69,
    FeedRecords: 80,
    FeedHeartbeat: 81,
    FeedEndOffset: 82,
    FeedRequest: 83,
}
