"""State of a request between its admission and its final answer."""

from typing import NamedTuple

from heatherspur.dispatch.types import Request
from heatherspur.link import messages as m

__all__ = ["Decision", "FinalAnswer", "PendingRequest"]


class FinalAnswer(NamedTuple):
    """The final answer to a request.

    :param exchange: Id of the HTTP exchange.
    :param status: HTTP status code.
    :param fields: Header fields.
    :param body: Body.
    :param retry_after_s: Recommended delay before a retry, in seconds; 0 for none.
    :param is_local: Whether this node generated it instead of a target.
    """

    exchange: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    retry_after_s: float
    is_local: bool


class Decision(NamedTuple):
    """A decision on a request, for logs and metrics.

    :param request: The request.
    :param action: Short description of the action.
    :param reason: Short name of the reason.
    :param node: Node id of the exit, empty if none is involved.
    :param inputs: Values on which the decision is based.
    """

    request: Request
    action: str
    reason: str
    node: str
    inputs: dict[str, float]


class PendingRequest:
    """A request without a final answer.

    :param request: The request.
    :param now: Clock reading in seconds.
    :ivar nodes_by_number: Exits with a reservation, by reservation number.
    :ivar waits_by_number: Expected waits that the exits reported, in milliseconds.
    :ivar grants_by_number: Granted slots.
    :ivar grant: Grant under which the request was sent.
    :ivar awaited_numbers: Reservations in the local zone without a reply yet.
    :ivar tried_nodes: Nodes to whose target the request was sent.
    :ivar reserved_nodes: Nodes with a reservation since the last attempt.
    :ivar executing: Number of the reservation under which the request runs, if any.
    :ivar overdue: Number of the reservation under which it still runs, while slots at
        other targets are reserved.
    :ivar next_move_at_s: When an overdue request may reserve other slots again.
    :ivar n_attempts: Number of attempts that may have reached a target.
    :ivar may_have_run: Whether the request may have run.
    :ivar resume_at_s: When to request the outcome again after a link loss.
    :ivar n_final_declines: Number of declines whose reason applies to other exits too.
    :ivar decline_reason: Reason of the last such decline.
    :ivar fallback: Error answer of a target, used if a retry has no better result.
    """

    def __init__(self, request: Request, now: float) -> None:
        self.request = request
        self.nodes_by_number: dict[int, str] = {}
        self.waits_by_number: dict[int, int] = {}
        self.grants_by_number: dict[int, m.Grant] = {}
        self.grant: m.Grant | None = None
        self.awaited_numbers: set[int] = set()
        self.reserved_at_s = now
        self.tried_nodes: set[str] = set()
        self.reserved_nodes: set[str] = set()
        self.executing: int | None = None
        self.executed_at_s = 0.0
        self.overdue: int | None = None
        self.next_move_at_s = now
        self.n_attempts = 0
        self.n_final_declines = 0
        self.decline_reason = "no-target"
        self.may_have_run = False
        self.next_round_at_s = now
        self.resume_at_s: float | None = None
        self.fallback: m.Answer | None = None

    @property
    def best_wait_ms(self) -> int:
        """Shortest wait reported by an exit, in milliseconds; -1 if none."""
        return min(self.waits_by_number.values(), default=-1)

    @property
    def may_probe(self) -> bool:
        """Whether the next attempt may probe a target: another one can follow it."""
        route = self.request.route
        return route.idempotent and self.n_attempts + 1 < route.max_targets

    def drop(self, number: int) -> None:
        """Remove a reservation.

        :param number: Number of the reservation.
        """
        self.nodes_by_number.pop(number, None)
        self.waits_by_number.pop(number, None)
        self.grants_by_number.pop(number, None)
        self.awaited_numbers.discard(number)
