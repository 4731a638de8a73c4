"""One request between its admission and its final answer."""

from typing import NamedTuple

from heatherspur.dispatch.types import Request
from heatherspur.link import messages as m

__all__ = ["Decision", "FinalAnswer", "PendingRequest"]


class FinalAnswer(NamedTuple):
    """The final answer to a request.

    :param exchange: Id of the exchange.
    :param status: HTTP status code.
    :param fields: Fields.
    :param body: The body.
    :param retry_after_s: When to come back, in seconds; 0 for no advice.
    :param is_local: Whether it was made here instead of by a target.
    """

    exchange: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    retry_after_s: float
    is_local: bool


class Decision(NamedTuple):
    """A decision on a request, for the log.

    :param request: The request.
    :param action: Short phrase.
    :param reason: Short name of the reason.
    :param node: Node concerned, if one.
    :param inputs: What decided it.
    """

    request: Request
    action: str
    reason: str
    node: str
    inputs: dict[str, float]


class PendingRequest:
    """One request that has no final answer yet.

    :param request: The request.
    :param now: Clock reading in seconds.
    :ivar nodes_by_number: Exits that hold a reservation.
    :ivar waits_by_number: Expected waits that they told, in milliseconds.
    :ivar grants_by_number: Slots that are held.
    :ivar awaited_numbers: Reservations nearby without a word yet.
    :ivar tried_nodes: Nodes whose target got the request.
    :ivar asked_nodes: Nodes asked since the last attempt.
    :ivar executing: Reservation under which the request was sent, if it was.
    :ivar n_handed: Attempts that count.
    :ivar was_handed: Whether the request may have run.
    :ivar resume_at_s: When to ask for the outcome again, after a lost link.
    :ivar n_final_declines: Exits that gave a reason which holds for others as well.
    :ivar decline_reason: The last such reason.
    :ivar fallback: Answer of a target to give if a repeat brings no better one.
    """

    def __init__(self, request: Request, now: float) -> None:
        self.request = request
        self.nodes_by_number: dict[int, str] = {}
        self.waits_by_number: dict[int, int] = {}
        self.grants_by_number: dict[int, m.Grant] = {}
        self.grant: m.Grant | None = None
        self.awaited_numbers: set[int] = set()
        self.asked_at_s = now
        self.tried_nodes: set[str] = set()
        self.asked_nodes: set[str] = set()
        self.executing: int | None = None
        self.executed_at_s = 0.0
        self.n_handed = 0
        self.n_final_declines = 0
        self.decline_reason = "no-target"
        self.was_handed = False
        self.ask_more_at_s = now
        self.resume_at_s: float | None = None
        self.fallback: m.Answer | None = None

    @property
    def best_wait_ms(self) -> int:
        """Shortest wait that an exit told, in milliseconds; -1 if none did."""
        return min(self.waits_by_number.values(), default=-1)

    def drop(self, number: int) -> None:
        """Forget a reservation.

        :param number: Its number.
        """
        self.nodes_by_number.pop(number, None)
        self.waits_by_number.pop(number, None)
        self.grants_by_number.pop(number, None)
        self.awaited_numbers.discard(number)
