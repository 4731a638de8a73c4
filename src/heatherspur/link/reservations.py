"""Messages with which an entry reserves a slot at an exit and uses it.

The request itself is sent only after the exit has granted a slot. A refused reservation
therefore costs only a few bytes, and the request certainly did not run.
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
    """Requests a slot of the target on the exit's host.

    :param number: Number of the reservation, increasing per entry.
    :param service: Service that the request is for.
    :param priority: Priority of the request; 0 is the highest.
    :param objective_ms: Time until the latency objective, in milliseconds; negative if
        it has passed.
    :param left_ms: Time until the deadline of the final response, in milliseconds.
    :param may_probe: Whether the request may probe a suspect target, which requires
        that it may run again and that an attempt remains.
    :param inner: Whether a target holds a slot while it waits for the response.
    :param n_asked: Number of exits that received a reservation for the same request.
    :param is_repeat: Whether the request was sent to a target before.
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
    :param wait_ms: Expected wait, in milliseconds.
    :param run_ms: Current service time of the target, in milliseconds.
    """

    number: int
    wait_ms: int
    run_ms: int


class Grant(NamedTuple):
    """A slot is held for the reservation for a short time.

    :param number: Number of the reservation.
    :param proven_ms: Time since the start of the target's last successful request, in
        milliseconds.
    :param run_ms: Current service time of the target, in milliseconds.
    :param process: Random number that the exit's process generated when it started.
    """

    number: int
    proven_ms: int
    run_ms: int
    process: int


class Decline(NamedTuple):
    """The exit refuses the reservation.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class Withdraw(NamedTuple):
    """The entry no longer needs the slot or the response."""

    number: int


class Execute(NamedTuple):
    """The request itself, for a granted reservation.

    :param number: Number of the reservation.
    :param attempt_id: Id that the caller assigned to the request.
    :param method: Method in capitals.
    :param target: Request target in origin form.
    :param fields: Fields that are forwarded to the target.
    :param body: The complete body.
    :param customer: Name of the customer; empty for a request without a key.
    :param caller_service: Service of the host that received the request.
    :param left_ms: Time until the deadline of the final response, in milliseconds.
    :param idempotent: Whether the request is idempotent and may run again.
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
    """Queries over a new link the outcome of a request sent over a lost link.

    If the exit has not received the request by then, the request will not run. If the
    exit's process has restarted since the grant, the reply is :class:`Failed`.

    :param number: Number of the reservation.
    :param process: Number of the exit's process that granted the slot.
    """

    number: int
    process: int


class NotRun(NamedTuple):
    """The request did not run and will not run later.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    :param reached_target: Whether the target itself refused the request.
    """

    number: int
    reason: str
    reached_target: bool


class Failed(NamedTuple):
    """The request was sent to the target and produced no usable response.

    :param number: Number of the reservation.
    :param reason: Short name of the reason.
    """

    number: int
    reason: str


class Answer(NamedTuple):
    """The target's complete response.

    :param number: Number of the reservation.
    :param status: HTTP status code.
    :param fields: Fields that are forwarded to the caller.
    :param body: The complete body.
    """

    number: int
    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
