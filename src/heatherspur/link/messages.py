"""Typed messages between nodes.

The node that opens a link is its *entry* side and sends requests; the node that accepts
it is the *exit* side. A message is encoded as a CBOR array of its code in :data:`CODES`
and its fields in order.
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
    """First message of each side of a link.

    :param version: Version of the link protocol.
    :param node: Node id.
    :param incarnation: Random identifier that a process generates when it starts.
    :param zone: Zone of the node.
    :param nonce: Fresh random bytes for the proof.
    """

    version: int
    node: str
    incarnation: str
    zone: str
    nonce: bytes


class Proof(NamedTuple):
    """Proves possession of the fleet secret.

    :param mac: Message authentication code over both hellos.
    """

    mac: bytes


class TargetReport(NamedTuple):
    """Load and health of one target, as measured by its exit.

    :param target: Target id.
    :param service: Service id.
    :param slots: Number of requests that the target runs concurrently.
    :param n_busy: Number of slots in use.
    :param n_queued: Number of requests that wait at the exit.
    :param state: State of the target's state machine.
    :param log_ms_mean: Mean of the natural logarithm of the service time in
        milliseconds over recent requests.
    :param log_ms_spread: Standard deviation of that logarithm.
    :param bad_ratio: Share of recent requests that failed or were very slow, 0 to 1.
    :param n_total: Number of requests finished since the exit started.
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

    :param clock_s: Clock reading of the entry, in seconds.
    """

    clock_s: float


class Heartbeat(NamedTuple):
    """Sent by the exit side at a fixed interval.

    :param clock_s: Clock reading of the exit, in seconds.
    :param echo_s: Newest clock reading received in a :class:`Ping` over this link, in
        seconds; 0 if none was received.
    :param offset: Log offset up to which the exit has applied records.
    :param head_age_s: Age of the exit's newest information about the head of the log,
        in seconds, whether read from the log or received from a peer.
    :param targets: One report per target.
    """

    clock_s: float
    echo_s: float
    offset: int
    head_age_s: float
    targets: tuple[TargetReport, ...]


class RequestHead(NamedTuple):
    """Head of a request from entry to exit.

    :param number: Number of the exchange, increasing per entry incarnation.
    :param incarnation: Exit incarnation that the request is addressed to.
    :param echo_clock_s: Newest clock reading that the entry received from the exit, in
        seconds.
    :param target: Target id.
    :param service: Service id.
    :param offset: Log offset up to which the entry has applied records.
    :param customer: Customer id, or empty if the caller sent no key.
    :param key_digest: Digest of the caller's key, or empty if the caller sent none.
    :param method: Method in capitals.
    :param path: Request target in origin form.
    :param fields: Fields that are forwarded to the target.
    :param deadline_ms: Time until the deadline of the whole exchange, in milliseconds.
    :param idempotent: Whether the request is idempotent and may run again.
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
    """The request is complete."""

    number: int


class Cancel(NamedTuple):
    """The entry no longer needs the response."""

    number: int


class Credit(NamedTuple):
    """Flow-control credit: the receiver consumed bytes of a body and accepts more.

    :param number: Number of the exchange.
    :param n_bytes: Number of bytes consumed, and of further bytes that may be sent.
    """

    number: int
    n_bytes: int


class Refusal(NamedTuple):
    """The exit did not run the request and will not run it later.

    :param number: Number of the exchange.
    :param reason: Short name of the reason.
    :param retry_after_ms: Delay before a retry, in milliseconds.
    """

    number: int
    reason: str
    retry_after_ms: int


class Failure(NamedTuple):
    """The request was sent to the target, but no complete response was received.

    :param number: Number of the exchange.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class ResponseHead(NamedTuple):
    """Head of the target's response.

    :param number: Number of the exchange.
    :param status: HTTP status code.
    :param fields: Fields that may be forwarded to the caller.
    :param queue_ms: Time that the request waited at the exit, in milliseconds.
    :param service_ms: Time from sending the request to the target until this head, in
        milliseconds.
    :param n_load: Number of requests that run or wait at the target.
    """

    number: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    queue_ms: float
    service_ms: float
    n_load: int


class ResponseBody(NamedTuple):
    """Part of the response's body."""

    number: int
    data: bytes


class ResponseEnd(NamedTuple):
    """The response is complete."""

    number: int


class RecordsRequest(NamedTuple):
    """Requests log records from a peer.

    :param offset: Offset of the first record to return.
    """

    offset: int


class RecordItem(NamedTuple):
    """One log record.

    :param offset: Offset of the record.
    :param value: Text of the record.
    """

    offset: int
    value: str


class Records(NamedTuple):
    """Consecutive log records from a peer."""

    items: tuple[RecordItem, ...]


class StateSnapshot(NamedTuple):
    """Snapshot of a peer's catalogue state, sent instead of log records.

    :param offset: Offset after the last record that the snapshot includes.
    :param state: Serialized state.
    """

    offset: int
    state: str


class TokenRequest(NamedTuple):
    """Requests tokens of a customer from the holder of a rate-limit share.

    :param loan: Number of the token lease, increasing per incarnation of the requester.
    :param share: Index of the share.
    :param customer: Customer id.
    :param amount: Number of tokens requested.
    """

    loan: int
    share: int
    customer: str
    amount: int


class TokenGrant(NamedTuple):
    """Response to a :class:`TokenRequest`.

    :param loan: Number of the token lease.
    :param share: Index of the share.
    :param customer: Customer id.
    :param amount: Number of tokens granted; may be 0.
    :param wait_ms: Time until the granted tokens may be used or, if none are granted,
        until one is expected, in milliseconds; 0 if the node may not grant tokens now.
    """

    loan: int
    share: int
    customer: str
    amount: int
    wait_ms: int


class Settlement(NamedTuple):
    """Use of one token lease since its last settlement.

    :param loan: Number of the token lease.
    :param spent: Number of tokens spent since the last settlement.
    :param returned: Number of unspent tokens returned.
    """

    loan: int
    spent: int
    returned: int


class TokenSettlement(NamedTuple):
    """Reports spent and returned tokens to the holder of their share.

    :param share: Index of the share.
    :param items: One settlement per token lease.
    """

    share: int
    items: tuple[Settlement, ...]


class TableQuery(NamedTuple):
    """Queries the newest table epoch that a member of the table has applied.

    :param round: Number of the query.
    :param epoch: Epoch of the sender's table.
    """

    round: int
    epoch: int


class TableConfirmation(NamedTuple):
    """Response to a :class:`TableQuery`.

    :param round: Number of the query.
    :param epoch: Epoch of the newest table that the member applied; 0 while the member
        may not confirm any.
    """

    round: int
    epoch: int


class PermitRequest(NamedTuple):
    """Requests the permit to eject a target from the permit holder of its service.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the request.
    """

    service: str
    target: str
    round: int


class PermitResponse(NamedTuple):
    """Response to a :class:`PermitRequest`.

    :param service: Service id.
    :param target: Target id.
    :param round: Number of the request.
    :param granted: Whether the target may stay ejected until the lease expires.
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
