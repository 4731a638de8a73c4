"""Admission control at the exit: decides which request runs, waits or is refused.

A refusal is final at this exit. The gate owns the concurrency slots of its targets.
Waiting requests start in the order of start-time fair queueing over customers (Goyal,
Vin and Cheng, 1996), so that a flood of one customer does not delay the others.

The module does no I/O: it receives clock readings and requests, and returns messages.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Arrival", "ExchangeKey", "ExitGate", "Refuse", "Start"]

MAX_ENTRIES = 20_000
DEFAULT_SERVICE_MS = 20.0
SERVICE_TIME_SMOOTHING = 0.1
SHORT_RETRY_AFTER_MS = 200
LONG_RETRY_AFTER_MS = 1000


class ExchangeKey(NamedTuple):
    """Identifies an attempt of an exchange at an exit.

    :param entry: Incarnation of the entry.
    :param number: Number that the entry gave the attempt; it rises with each attempt.
    """

    entry: str
    number: int


class Arrival(NamedTuple):
    """A request that arrived at the exit.

    :param key: Key of the request.
    :param incarnation: Incarnation of the exit that the request is addressed to.
    :param echo_clock_s: Newest clock reading of this exit that the entry had received
        when it sent the request, in seconds.
    :param target: Target id.
    :param customer: Customer id, or a placeholder for callers without a key.
    :param deadline_ms: Time left for the exchange, in milliseconds.
    :param idempotent: Whether the request may run more than once.
    """

    key: ExchangeKey
    incarnation: str
    echo_clock_s: float
    target: str
    customer: str
    deadline_ms: int
    idempotent: bool


class Start(NamedTuple):
    """Action: send the request to its target now.

    :param key: Key of the request.
    :param queue_ms: Time that the request waited, in milliseconds.
    """

    key: ExchangeKey
    queue_ms: float


class Refuse(NamedTuple):
    """Action: refuse a request that has not run here and never will.

    :param key: Key of the request.
    :param reason: Short name of the reason.
    :param retry_after_ms: Time after which to retry, in milliseconds.
    """

    key: ExchangeKey
    reason: str
    retry_after_ms: int


class WaitingRequest(NamedTuple):
    """A request that waits for a slot.

    :param arrival: The request.
    :param arrived_at_s: Clock reading at its arrival.
    :param deadline_s: Clock reading at its deadline.
    """

    arrival: Arrival
    arrived_at_s: float
    deadline_s: float


class CustomerQueue:
    """One customer's waiting requests at one target.

    :param start_tag: Virtual time at which the customer's next request may start.
    """

    __slots__ = ("start_tag", "waiting")

    def __init__(self, start_tag: float) -> None:
        self.waiting: deque[WaitingRequest] = deque()
        self.start_tag = start_tag


class TargetGate:
    """Concurrency slots and queues of one target.

    :param slots: Number of requests that may run at a time.
    :param max_queue: Number of requests that may wait.
    """

    def __init__(self, slots: int, max_queue: int) -> None:
        self.slots = slots
        self.max_queue = max_queue
        self.running: dict[ExchangeKey, tuple[str, float]] = {}
        self.queues_by_customer: dict[str, CustomerQueue] = {}
        self.n_waiting = 0
        self.virtual_time = 0.0
        self.service_ms = DEFAULT_SERVICE_MS
        self.accepts = True
        self.probing = False
        self.finish_tags_by_customer: dict[str, float] = {}

    def queue_of(self, customer: str) -> CustomerQueue:
        """Return a customer's queue, and create it if needed."""
        queue = self.queues_by_customer.get(customer)
        if queue is None:
            finish = self.finish_tags_by_customer.get(customer, 0.0)
            queue = CustomerQueue(max(self.virtual_time, finish))
            self.queues_by_customer[customer] = queue
        return queue

    def expected_wait_ms(self, customer: str) -> float:
        """Return the expected wait of one more request of a customer.

        Fair queueing serves each customer in turn, so that requests beyond a customer's
        turn do not count.

        :param customer: Customer id.
        :returns: Milliseconds.
        """
        own = self.queues_by_customer.get(customer)
        n_own = len(own.waiting) if own else 0
        n_customers = len(self.queues_by_customer) + (own is None)
        n_ahead = min(self.n_waiting, (n_own + 1) * n_customers - 1)
        return (n_ahead + 1) / self.slots * self.service_ms

    def next_customer(self) -> str:
        """Return the customer with the lowest start tag."""
        queues = self.queues_by_customer
        return min(queues, key=lambda customer: queues[customer].start_tag)

    def customer_with_longest_queue(self) -> str:
        """Return the customer with the most waiting requests."""
        queues = self.queues_by_customer
        return max(queues, key=lambda customer: len(queues[customer].waiting))


class ExitGate:
    """Admission control of one exit, over all its targets.

    :param incarnation: Incarnation of this exit.
    :param max_age_s: Largest age of a request on arrival, in seconds.
    """

    def __init__(self, incarnation: str, max_age_s: float) -> None:
        self._incarnation = incarnation
        self._max_age_s = max_age_s
        self._last_number_by_entry: OrderedDict[str, int] = OrderedDict()
        self.gates_by_target: dict[str, TargetGate] = {}
        self._target_by_key: dict[ExchangeKey, str] = {}
        self.stopping = False

    def set_target(self, target: str, slots: int, max_queue: int) -> None:
        """Add or change a target that accepts requests.

        :param target: Target id.
        :param slots: Number of requests that may run at a time.
        :param max_queue: Number of requests that may wait.
        """
        target_gate = self.gates_by_target.get(target)
        if target_gate is None:
            target_gate = self.gates_by_target[target] = TargetGate(slots, max_queue)
        target_gate.slots, target_gate.max_queue = slots, max_queue
        target_gate.accepts = True

    def set_probing(self, target: str, probing: bool) -> None:
        """Set whether a target is being probed.

        A target that is probed accepts only idempotent requests, one at a time.

        :param target: Target id.
        :param probing: Whether the target is being probed.
        """
        target_gate = self.gates_by_target.get(target)
        if target_gate is not None:
            target_gate.probing = probing

    def close_target(self, target: str) -> list[Refuse]:
        """Stop accepting requests for a target; requests that run may finish.

        :param target: Target id.
        :returns: Refusals of the waiting requests.
        """
        target_gate = self.gates_by_target.get(target)
        if target_gate is None:
            return []
        target_gate.accepts = False
        waiting = [
            w for q in target_gate.queues_by_customer.values() for w in q.waiting
        ]
        target_gate.queues_by_customer.clear()
        target_gate.n_waiting = 0
        return [
            self._refuse(w.arrival.key, "draining", SHORT_RETRY_AFTER_MS)
            for w in waiting
        ]

    def contains(self, key: ExchangeKey) -> bool:
        """Return whether a request waits or runs.

        :param key: Key of the request.
        """
        return key in self._target_by_key

    def arrive(
        self, arrival: Arrival, known_problem: str | None, now: float
    ) -> Iterator[Start | Refuse]:
        """Start, queue or refuse a request; repeated requests are ignored.

        :param arrival: The request.
        :param known_problem: Reason to refuse the request that the caller of this
            method has found, if any.
        :param now: Clock reading in seconds.
        :returns: Actions.
        """
        if not self._is_new(arrival.key):
            return
        reason = known_problem or self._refusal_reason(arrival, now)
        if reason is not None:
            yield Refuse(arrival.key, reason, SHORT_RETRY_AFTER_MS)
            return
        target_gate = self.gates_by_target[arrival.target]
        self._target_by_key[arrival.key] = arrival.target
        deadline_s = now + arrival.deadline_ms / 1000
        waiting = WaitingRequest(arrival, now, deadline_s)
        if len(target_gate.running) < target_gate.slots and not target_gate.n_waiting:
            target_gate.queue_of(arrival.customer).waiting.append(waiting)
            target_gate.n_waiting += 1
            yield from self._start_waiting_requests(target_gate, now)
            return
        if target_gate.expected_wait_ms(arrival.customer) > arrival.deadline_ms:
            yield self._refuse(arrival.key, "deadline-short", LONG_RETRY_AFTER_MS)
            return
        yield from self._enqueue(target_gate, waiting)

    def _is_new(self, key: ExchangeKey) -> bool:
        """Record a key, and return whether it is new.

        Each entry numbers its attempts in ascending order, so a number that is not
        larger than the last one was seen before. Messages of an entry arrive in order.
        """
        last = self._last_number_by_entry.get(key.entry, 0)
        if key.number <= last:
            return False
        self._last_number_by_entry[key.entry] = key.number
        self._last_number_by_entry.move_to_end(key.entry)
        if len(self._last_number_by_entry) > MAX_ENTRIES:
            self._last_number_by_entry.popitem(last=False)
        return True

    def _refusal_reason(self, arrival: Arrival, now: float) -> str | None:
        if arrival.incarnation != self._incarnation:
            return "other-incarnation"
        if now - arrival.echo_clock_s > self._max_age_s:
            return "too-old"
        target_gate = self.gates_by_target.get(arrival.target)
        if target_gate is None or not target_gate.accepts or self.stopping:
            return "draining"
        if target_gate.probing and (not arrival.idempotent or target_gate.running):
            return "probing"
        return None

    def _enqueue(
        self, target_gate: TargetGate, waiting: WaitingRequest
    ) -> Iterator[Refuse]:
        """Queue a request.

        If the queue of the target is full, the newest request of the customer with the
        most waiting requests is refused.
        """
        customer = waiting.arrival.customer
        if target_gate.n_waiting >= target_gate.max_queue:
            longest = (
                target_gate.customer_with_longest_queue()
                if target_gate.queues_by_customer
                else customer
            )
            own = target_gate.queues_by_customer.get(customer)
            n_own = len(own.waiting) if own else 0
            longest_queue = target_gate.queues_by_customer.get(longest)
            n_longest = len(longest_queue.waiting) if longest_queue else 0
            if n_longest <= n_own + 1:
                yield self._refuse(
                    waiting.arrival.key, "queue-full", SHORT_RETRY_AFTER_MS
                )
                return
            dropped = longest_queue.waiting.pop()
            target_gate.n_waiting -= 1
            yield self._refuse(dropped.arrival.key, "queue-full", SHORT_RETRY_AFTER_MS)
        target_gate.queue_of(customer).waiting.append(waiting)
        target_gate.n_waiting += 1

    def finish(
        self, key: ExchangeKey, service_ms: float | None, now: float
    ) -> Iterator[Start | Refuse]:
        """Free the slot of a request that ended, and start waiting requests.

        :param key: Key of the request.
        :param service_ms: Service time in milliseconds, or ``None`` if the target did
            not serve the request.
        :param now: Clock reading in seconds.
        :returns: Actions.
        """
        target = self._target_by_key.pop(key, None)
        target_gate = self.gates_by_target.get(target)
        if target_gate is None or target_gate.running.pop(key, None) is None:
            return
        if service_ms is not None:
            target_gate.service_ms += SERVICE_TIME_SMOOTHING * (
                service_ms - target_gate.service_ms
            )
        yield from self._start_waiting_requests(target_gate, now)

    def cancel(self, key: ExchangeKey) -> bool:
        """Remove a waiting request.

        :param key: Key of the request.
        :returns: Whether the request was waiting; otherwise it runs or has ended.
        """
        target_gate = self.gates_by_target.get(self._target_by_key.get(key))
        if target_gate is None or key in target_gate.running:
            return False
        for customer, queue in list(target_gate.queues_by_customer.items()):
            for waiting in queue.waiting:
                if waiting.arrival.key == key:
                    queue.waiting.remove(waiting)
                    target_gate.n_waiting -= 1
                    self._remove_if_empty(target_gate, customer)
                    del self._target_by_key[key]
                    return True
        return False

    def tick(self, now: float) -> Iterator[Refuse]:
        """Refuse waiting requests whose deadline has passed.

        :param now: Clock reading in seconds.
        :returns: Refusals.
        """
        for target_gate in self.gates_by_target.values():
            for customer, queue in list(target_gate.queues_by_customer.items()):
                expired = [w for w in queue.waiting if w.deadline_s <= now]
                for waiting in expired:
                    queue.waiting.remove(waiting)
                    target_gate.n_waiting -= 1
                    yield self._refuse(
                        waiting.arrival.key, "deadline", LONG_RETRY_AFTER_MS
                    )
                self._remove_if_empty(target_gate, customer)

    def _start_waiting_requests(
        self, target_gate: TargetGate, now: float
    ) -> Iterator[Start | Refuse]:
        """Start waiting requests while slots are free."""
        while target_gate.n_waiting and len(target_gate.running) < target_gate.slots:
            customer = target_gate.next_customer()
            queue = target_gate.queues_by_customer[customer]
            waiting = queue.waiting.popleft()
            target_gate.n_waiting -= 1
            key = waiting.arrival.key
            if now >= waiting.deadline_s:
                self._remove_if_empty(target_gate, customer)
                yield self._refuse(key, "deadline", LONG_RETRY_AFTER_MS)
                continue
            target_gate.virtual_time = max(target_gate.virtual_time, queue.start_tag)
            queue.start_tag = target_gate.virtual_time + target_gate.service_ms
            target_gate.finish_tags_by_customer[customer] = queue.start_tag
            self._remove_if_empty(target_gate, customer)
            target_gate.running[key] = (customer, now)
            yield Start(key, (now - waiting.arrived_at_s) * 1000)

    def _remove_if_empty(self, target_gate: TargetGate, customer: str) -> None:
        queue = target_gate.queues_by_customer.get(customer)
        if queue is not None and not queue.waiting:
            del target_gate.queues_by_customer[customer]
        if not target_gate.n_waiting and not target_gate.running:
            target_gate.finish_tags_by_customer.clear()
            target_gate.virtual_time = 0.0

    def _refuse(self, key: ExchangeKey, reason: str, retry_after_ms: int) -> Refuse:
        self._target_by_key.pop(key, None)
        return Refuse(key, reason, retry_after_ms)
