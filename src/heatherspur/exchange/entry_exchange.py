"""State of one request at its entry."""

from heatherspur.catalogue import ServiceEntry
from heatherspur.http import Field
from heatherspur.routing import TargetView

__all__ = ["BODY_WINDOW_BYTES", "EntryExchange"]

BODY_WINDOW_BYTES = 65536


class EntryExchange:
    """One request at its entry, with the state of its current attempt.

    :param exchange: Id of the exchange.
    :param service: Service that the request is for.
    :param customer: Customer id; empty if the request has no key.
    :param key_digest: Digest of the key; empty if the request has no key.
    :param method: HTTP method in capitals.
    :param path: Request target in origin form.
    :param fields: Header fields that are passed to the target.
    :param idempotent: Whether the request may run more than once.
    :param has_body: Whether a body follows.
    :param deadline_s: Clock reading at which the exchange is closed.
    :param started_at_s: Clock reading at which the request arrived.
    """

    def __init__(
        self,
        exchange: int,
        service: ServiceEntry,
        customer: str,
        key_digest: bytes,
        method: str,
        path: str,
        fields: tuple[Field, ...],
        idempotent: bool,
        has_body: bool,
        deadline_s: float,
        started_at_s: float,
    ) -> None:
        self.exchange = exchange
        self.service = service
        self.customer = customer
        self.key_digest = key_digest
        self.method = method
        self.path = path
        self.fields = fields
        self.idempotent = idempotent
        self.has_body = has_body
        self.deadline_s = deadline_s
        self.started_at_s = started_at_s
        self.body: list[bytes] = []
        self.n_body_bytes = 0
        self.body_ended = not has_body
        self.body_dropped = False
        self.n_sent_chunks = 0
        self.credit = BODY_WINDOW_BYTES
        self.view: TargetView | None = None
        self.number = 0
        self.sent_at_s = 0.0
        self.n_attempts = 0
        self.refused_by: frozenset[str] = frozenset()
        self.may_have_run = False
        self.response_started = False
        self.end_sent = False
