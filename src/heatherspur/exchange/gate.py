"""Decides at the exit which request runs, waits or is refused for good.

Pure: time and messages in, messages out. The gate owns the slots of its targets.
Waiting requests are served by start-time fair queueing over customers (Goyal, Vin
and Cheng, 1996), so that one customer's flood delays nobody else.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Arrival", "ExchangeKey", "ExitGate", "Refuse", "Start"]

MAX_ENTRIES = 20_000
DEFAULT_SERVICE_MS = 20.0
SERVICE_WEIGHT = 0.1
RETRY_SOON_MS = 200
RETRY_LATER_MS = 1000


class ExchangeKey(NamedTuple):
    """Names an exchange at an exit.

    :param entry: Incarnation of the entry.
    :param number: The entry's number of the exchange.
    """

    entry: str
    number: int


class Arrival(NamedTuple):
    """A request that reached the exit.

    :param key: Its name.
    :param incarnation: Exit incarnation that it is meant for.
    :param echo_clock_s: Newest clock reading of this exit that the entry held.
    :param target: Target id.
    :param customer: Customer id, or a name for callers without a key.
    :param deadline_ms: Time left for the exchange, in milliseconds.
    :param idempotent: Whether it may run again.
    """

    key: ExchangeKey
    incarnation: str
    echo_clock_s: float
    target: str
    customer: str
    deadline_ms: int
    idempotent: bool


class Start(NamedTuple):
    """Hand the request to its target now.

    :param key: Its name.
    :param queue_ms: Time that it waited, in milliseconds.
    """

    key: ExchangeKey
    queue_ms: float


class Refuse(NamedTuple):
    """The request did not run here and never will.

    :param key: Its name.
    :param reason: Short name of the reason.
    :param retry_after_ms: When to try again, in milliseconds.
    """

    key: ExchangeKey
    reason: str
    retry_after_ms: int


class Waiting(NamedTuple):
    """A request that waits for a slot.

    :param arrival: The request.
    :param arrived_at_s: When it came.
    :param until_s: When its deadline is over.
    """

    arrival: Arrival
    arrived_at_s: float
    until_s: float


class CustomerQueue:
    """One customer's waiting requests at one target.

    :param start: Virtual time at which its next request starts.
    """

    __slots__ = ("start", "waiting")

    def __init__(self, start: float) -> None:
        self.waiting: deque[Waiting] = deque()
        self.start = start


class TargetGate:
    """Slots and queues of one target.

    :param slots: Requests that the target runs at a time.
    :param max_queue: Most requests that wait.
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
        self.finish_by_customer: dict[str, float] = {}

    def queue_of(self, customer: str) -> CustomerQueue:
        """Return a customer's queue, made on demand."""
        queue = self.queues_by_customer.get(customer)
        if queue is None:
            finish = self.finish_by_customer.get(customer, 0.0)
            queue = CustomerQueue(max(self.virtual_time, finish))
            self.queues_by_customer[customer] = queue
        return queue

    def expected_wait_ms(self, customer: str) -> float:
        """Return the expected wait of one more request of a customer."""
        own = self.queues_by_customer.get(customer)
        n_own = len(own.waiting) if own else 0
        n_customers = len(self.queues_by_customer) + (own is None)
        n_ahead = min(self.n_waiting, (n_own + 1) * n_customers - 1)
        return (n_ahead + 1) / self.slots * self.service_ms

    def next_queue(self) -> str:
        """Return the customer whose turn it is."""
        queues = self.queues_by_customer
        return min(queues, key=lambda customer: queues[customer].start)

    def longest_queue(self) -> str:
        """Return the customer with the most waiting requests."""
        queues = self.queues_by_customer
        return max(queues, key=lambda customer: len(queues[customer].waiting))


class ExitGate:
    """The gate of one exit.

    :param incarnation: Own incarnation.
    :param max_age_s: Greatest age of a request on arrival, in seconds.
    """

    def __init__(self, incarnation: str, max_age_s: float) -> None:
        self._incarnation = incarnation
        self._max_age_s = max_age_s
        self._last_number_by_entry: OrderedDict[str, int] = OrderedDict()
        self.gates_by_target: dict[str, TargetGate] = {}
        self._target_by_key: dict[ExchangeKey, str] = {}
        self.stopping = False

    def set_target(self, target: str, slots: int, max_queue: int) -> None:
        """Add or change a target that takes work.

        :param target: Target id.
        :param slots: Requests that it runs at a time.
        :param max_queue: Most requests that wait for it.
        """
        gate = self.gates_by_target.get(target)
        if gate is None:
            gate = self.gates_by_target[target] = TargetGate(slots, max_queue)
        gate.slots, gate.max_queue = slots, max_queue
        gate.accepts = True

    def set_probing(self, target: str, probing: bool) -> None:
        """Note whether a target takes only single idempotent requests.

        :param target: Target id.
        :param probing: Whether it does.
        """
        gate = self.gates_by_target.get(target)
        if gate is not None:
            gate.probing = probing

    def close_target(self, target: str) -> list[Refuse]:
        """Give a target no more work; what runs goes on.

        :param target: Target id.
        :returns: Refusals of the requests that waited.
        """
        gate = self.gates_by_target.get(target)
        if gate is None:
            return []
        gate.accepts = False
        waiting = [w for q in gate.queues_by_customer.values() for w in q.waiting]
        gate.queues_by_customer.clear()
        gate.n_waiting = 0
        return [self._refuse(w.arrival.key, "draining", RETRY_SOON_MS) for w in waiting]

    def contains(self, key: ExchangeKey) -> bool:
        """Tell whether a request waits or runs.

        :param key: Its name.
        """
        return key in self._target_by_key

    def arrive(
        self, arrival: Arrival, problem: str | None, now: float
    ) -> Iterator[Start | Refuse]:
        """Take a request; one that came before is ignored.

        :param arrival: The request.
        :param problem: Why it may not run, if the caller of the gate knows.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        if not self._is_new(arrival.key):
            return
        reason = problem or self._problem(arrival, now)
        if reason is not None:
            yield Refuse(arrival.key, reason, RETRY_SOON_MS)
            return
        gate = self.gates_by_target[arrival.target]
        self._target_by_key[arrival.key] = arrival.target
        until_s = now + arrival.deadline_ms / 1000
        waiting = Waiting(arrival, now, until_s)
        if len(gate.running) < gate.slots and not gate.n_waiting:
            gate.queue_of(arrival.customer).waiting.append(waiting)
            gate.n_waiting += 1
            yield from self._fill(gate, now)
            return
        if gate.expected_wait_ms(arrival.customer) > arrival.deadline_ms:
            yield self._refuse(arrival.key, "deadline-short", RETRY_LATER_MS)
            return
        yield from self._enqueue(gate, waiting)

    def _is_new(self, key: ExchangeKey) -> bool:
        """Tell whether a request was never seen; numbers rise for each entry."""
        last = self._last_number_by_entry.get(key.entry, 0)
        if key.number <= last:
            return False
        self._last_number_by_entry[key.entry] = key.number
        self._last_number_by_entry.move_to_end(key.entry)
        if len(self._last_number_by_entry) > MAX_ENTRIES:
            self._last_number_by_entry.popitem(last=False)
        return True

    def _problem(self, arrival: Arrival, now: float) -> str | None:
        if arrival.incarnation != self._incarnation:
            return "other-incarnation"
        if now - arrival.echo_clock_s > self._max_age_s:
            return "too-old"
        gate = self.gates_by_target.get(arrival.target)
        if gate is None or not gate.accepts or self.stopping:
            return "draining"
        if gate.probing and (not arrival.idempotent or gate.running):
            return "probing"
        return None

    def _enqueue(self, gate: TargetGate, waiting: Waiting) -> Iterator[Refuse]:
        """Queue a request; a full queue drops from the longest one's end."""
        customer = waiting.arrival.customer
        if gate.n_waiting >= gate.max_queue:
            longest = gate.longest_queue() if gate.queues_by_customer else customer
            own = gate.queues_by_customer.get(customer)
            n_own = len(own.waiting) if own else 0
            n_longest = len(gate.queue_of(longest).waiting)
            if n_longest <= n_own + 1:
                yield self._refuse(waiting.arrival.key, "queue-full", RETRY_SOON_MS)
                return
            dropped = gate.queue_of(longest).waiting.pop()
            gate.n_waiting -= 1
            yield self._refuse(dropped.arrival.key, "queue-full", RETRY_SOON_MS)
        gate.queue_of(customer).waiting.append(waiting)
        gate.n_waiting += 1

    def finish(
        self, key: ExchangeKey, service_ms: float | None, now: float
    ) -> Iterator[Start | Refuse]:
        """Free the slot of a request that ended.

        :param key: Its name.
        :param service_ms: Its service time, in milliseconds, if it was served.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        target = self._target_by_key.pop(key, None)
        gate = self.gates_by_target.get(target)
        if gate is None or gate.running.pop(key, None) is None:
            return
        if service_ms is not None:
            gate.service_ms += SERVICE_WEIGHT * (service_ms - gate.service_ms)
        yield from self._fill(gate, now)

    def cancel(self, key: ExchangeKey) -> bool:
        """Drop a request that waits.

        :param key: Its name.
        :returns: Whether it waited; otherwise it runs or ended.
        """
        gate = self.gates_by_target.get(self._target_by_key.get(key))
        if gate is None or key in gate.running:
            return False
        for customer, queue in list(gate.queues_by_customer.items()):
            for waiting in queue.waiting:
                if waiting.arrival.key == key:
                    queue.waiting.remove(waiting)
                    gate.n_waiting -= 1
                    self._drop_empty(gate, customer)
                    del self._target_by_key[key]
                    return True
        return False

    def tick(self, now: float) -> Iterator[Refuse]:
        """Refuse waiting requests whose deadline is over.

        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        for gate in self.gates_by_target.values():
            for customer, queue in list(gate.queues_by_customer.items()):
                late = [w for w in queue.waiting if w.until_s <= now]
                for waiting in late:
                    queue.waiting.remove(waiting)
                    gate.n_waiting -= 1
                    yield self._refuse(waiting.arrival.key, "deadline", RETRY_LATER_MS)
                self._drop_empty(gate, customer)

    def _fill(self, gate: TargetGate, now: float) -> Iterator[Start | Refuse]:
        """Start waiting requests while slots are free."""
        while gate.n_waiting and len(gate.running) < gate.slots:
            customer = gate.next_queue()
            queue = gate.queues_by_customer[customer]
            waiting = queue.waiting.popleft()
            gate.n_waiting -= 1
            key = waiting.arrival.key
            if now >= waiting.until_s:
                self._drop_empty(gate, customer)
                yield self._refuse(key, "deadline", RETRY_LATER_MS)
                continue
            gate.virtual_time = max(gate.virtual_time, queue.start)
            queue.start = gate.virtual_time + gate.service_ms
            gate.finish_by_customer[customer] = queue.start
            self._drop_empty(gate, customer)
            gate.running[key] = (customer, now)
            yield Start(key, (now - waiting.arrived_at_s) * 1000)

    def _drop_empty(self, gate: TargetGate, customer: str) -> None:
        queue = gate.queues_by_customer.get(customer)
        if queue is not None and not queue.waiting:
            del gate.queues_by_customer[customer]
        if not gate.n_waiting and not gate.running:
            gate.finish_by_customer.clear()
            gate.virtual_time = 0.0

    def _refuse(self, key: ExchangeKey, reason: str, retry_after_ms: int) -> Refuse:
        self._target_by_key.pop(key, None)
        return Refuse(key, reason, retry_after_ms)
