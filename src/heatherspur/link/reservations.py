"""Messages by which an entry reserves a slot at an exit and uses it.

A request body crosses a link only after the exit has granted a slot, so a refused
reservation costs a few bytes and proves that nothing ran.
"""

from typing import NamedTuple

__all__ = [
    "Answer",
    "Decline",
    "Execute",
    "Failed",
    "Grant",
    "NotRun",
    "Queued",
    "Reserve",
    "Resume",
    "Withdraw",
]


class Reserve(NamedTuple):
    """Asks an exit for a slot at the target beside it.

    :param number: Number of the reservation, rising for each entry.
    :param service: Service that is to run the request.
    :param priority: Rank of the request; 0 goes first.
    :param objective_ms: Time left for an answer of full value; may be negative.
    :param left_ms: Time left until the final answer is due.
    :param may_probe: Whether the request may test a doubtful target: it may run
        again, and another attempt is left.
    :param inner: Whether a target waits for the answer while it holds a slot.
    :param n_asked: Number of exits asked for the same request.
    :param is_repeat: Whether a target has got the request before.
    :param route: Tag of the request's route.
    :param customer: Tag of the request's customer; 0 for none.
    """

    number: int
    service: str
    priority: int
    objective_ms: int
    left_ms: int
    may_probe: bool
    inner: bool
    n_asked: int
    is_repeat: bool
    route: int
    customer: int


class Queued(NamedTuple):
    """No slot is free; the reservation waits at the exit.

    :param number: Number of the reservation.
    :param wait_ms: Expected wait.
    :param run_ms: Time that the target takes for a request at present.
    """

    number: int
    wait_ms: int
    run_ms: int


class Grant(NamedTuple):
    """A slot is held for the reservation for a short time.

    :param number: Number of the reservation.
    :param proven_ms: Time since the target last gave a good answer.
    :param run_ms: Time that the target takes for a request at present.
    :param process: Random number that the exit's process drew at its start.
    """

    number: int
    proven_ms: int
    run_ms: int
    process: int


class Decline(NamedTuple):
    """The exit has no slot to offer.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class Withdraw(NamedTuple):
    """The entry no longer wants the slot, or the answer."""

    number: int


class Execute(NamedTuple):
    """The request itself, for a granted reservation.

    :param number: Number of the reservation.
    :param attempt_id: Caller's id of the request.
    :param method: Method in capitals.
    :param target: Request target in origin form.
    :param fields: Fields that pass to the target.
    :param body: The body.
    :param customer: Name of the customer; empty for a request without a key.
    :param caller_service: Service on the host where the request began.
    :param left_ms: Time left until the final answer is due.
    :param idempotent: Whether the request may run again.
    """

    number: int
    attempt_id: bytes
    method: str
    target: str
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    customer: str
    caller_service: str
    left_ms: int
    idempotent: bool


class Resume(NamedTuple):
    """Asks over a new link what became of a request that was sent over a lost one.

    A request that the exit has not seen by then will not run any more. A process
    that was started since can't know and says so.

    :param number: Number of the reservation.
    :param process: The exit's process that granted the slot.
    """

    number: int
    process: int


class NotRun(NamedTuple):
    """The request was not run and never will be.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    :param reached_target: Whether the target itself turned it away.
    """

    number: int
    reason: str
    reached_target: bool


class Failed(NamedTuple):
    """The request was handed to the target and brought no usable answer.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class Answer(NamedTuple):
    """The target's whole answer.

    :param number: Number of the reservation.
    :param status: HTTP status code.
    :param fields: Fields that pass to the caller.
    :param body: The body.
    """

    number: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
