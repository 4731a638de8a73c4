"""Model of an entry, exits and targets that searches interleavings of failures.

Messages between the entry and an exit arrive in order over a link. A link may stall or
break, and its newest request may be repeated on the next link. Exits restart and lose
all state.
"""

import random
from collections import Counter, deque

from heatherspur.catalogue import Route, ServiceEntry
from heatherspur.exchange import (
    Arrival,
    EntryCore,
    EntryExchange,
    ExchangeKey,
    ExitGate,
    Refuse,
    ReplyAbort,
    ReplyBody,
    ReplyEnd,
    ReplyHead,
    SendTo,
    Start,
)
from heatherspur.link import messages as m
from heatherspur.routing import RetryBudget, TargetSelector

NODES = ("x", "y")
STEP_S = 0.05
N_STEPS = 260
MAX_AGE_S = 3.0
HEARTBEAT_S = 0.5

SERVICE = ServiceEntry(
    id="s",
    owner="o",
    service_class="steady",
    routes=(Route("/", False, ("GET",)),),
    timeout_ms=2000,
    max_body_bytes=1000,
    floor=0.5,
    max_queue=4,
    open_rate=1.0,
    open_burst=1,
)


def report(target: str) -> m.TargetReport:
    return m.TargetReport(target, "s", 2, 0, 0, "active", 2.0, 0.1, 0.0, 9)


class ModelExit:
    """One incarnation of an exit, and the target on its host."""

    def __init__(self, model, node: str):
        self.node = node
        self.incarnation = f"{node}-{model.rng.getrandbits(32)}"
        self.gate = model.gate_class(self.incarnation, MAX_AGE_S)
        self.gate.set_target(f"t-{node}", 2, 4)
        self.heads: dict[ExchangeKey, m.RequestHead] = {}
        self.running: list[tuple[float, ExchangeKey]] = []
        self.next_heartbeat_s = 0.0


class Model:
    """One entry, two exits, and a record of which requests ran."""

    def __init__(self, seed, core_class=EntryCore, gate_class=ExitGate):
        self.rng = random.Random(seed)
        self.gate_class = gate_class
        self.now = 100.0
        self.target_selector = TargetSelector("z", self.rng)
        budget = RetryBudget(100, self.now)
        self.core = core_class(self.target_selector, budget, 3, lambda: 0)
        self.exits = {node: ModelExit(self, node) for node in NODES}
        self.links: dict[str, dict[str, deque]] = {}
        self.stalled_until_s: dict[tuple[str, str], float] = {}
        self.frozen_until_s: dict[str, float] = {}
        self.last_request_head: dict[str, m.RequestHead] = {}
        self.n_runs: Counter[int] = Counter()
        self.outcome_at_s: dict[int, float] = {}
        self.outcomes: dict[int, str] = {}
        self.answers: dict[int, bytes] = {}
        self.idempotent: dict[int, bool] = {}
        self.max_run_delay_s = 0.0
        for node in NODES:
            self._open_link(node)

    def _open_link(self, node: str) -> None:
        self.links[node] = {"out": deque(), "in": deque()}
        self.core.incarnations_by_node[node] = self.exits[node].incarnation
        self.core.clocks_by_node.pop(node, None)
        self.target_selector.update_node(node, "z", ())

    def run(self) -> None:
        for step in range(N_STEPS):
            self.now += STEP_S
            self._inject_failures()
            if self.rng.random() < 0.5 and step < N_STEPS - 80:
                self._request(step + 1)
            self._deliver()
            self._process(self.core.tick(self.now))
            for exit_ in self.exits.values():
                if self.now >= self.frozen_until_s.get(exit_.node, 0):
                    self._step_exit(exit_)

    def _inject_failures(self) -> None:
        rng = self.rng
        node = rng.choice(NODES)
        if rng.random() < 0.02:
            self._break_link(node)
        if rng.random() < 0.01:
            self.exits[node] = ModelExit(self, node)
            self._break_link(node)
        if rng.random() < 0.03:
            direction = rng.choice(("out", "in"))
            self.stalled_until_s[node, direction] = self.now + rng.uniform(0.5, 6)
        if rng.random() < 0.015:
            self.frozen_until_s[node] = self.now + rng.uniform(0.5, 6)

    def _break_link(self, node: str) -> None:
        """Break a link and drop its messages; its newest request may be repeated."""
        self.target_selector.remove_node(node)
        exit_ = self.exits[node]
        for key in list(exit_.heads):
            if exit_.gate.cancel(key):
                del exit_.heads[key]
        in_flight = list(self.links[node]["out"])
        self._open_link(node)
        self._process(self.core.handle_link_loss(node, self.now))
        heads = [item for item in in_flight if isinstance(item, m.RequestHead)]
        if node in self.last_request_head and self.rng.random() < 0.5:
            heads.append(self.last_request_head[node])
        self.links[node]["out"].extend(heads[-2:])

    def _request(self, number: int) -> None:
        idempotent = self.rng.random() < 0.4
        self.idempotent[number] = idempotent
        exchange = EntryExchange(
            exchange=number,
            service=SERVICE,
            customer="c",
            key_digest=b"",
            method="GET" if idempotent else "POST",
            path=f"/{number}",
            fields=(),
            idempotent=idempotent,
            has_body=False,
            deadline_s=self.now + 2,
            started_at_s=self.now,
        )
        self.core.open(exchange)
        self._process(self.core.admit(number, self.now))

    def _process(self, messages) -> None:
        for message in messages:
            if isinstance(message, SendTo):
                self.links[message.node]["out"].append(message.message)
                if isinstance(message.message, m.RequestHead):
                    self.last_request_head[message.node] = message.message
            elif isinstance(message, ReplyHead):
                fields = dict(message.fields)
                outcome = fields[b"heatherspur-outcome"].decode()
                assert message.exchange not in self.outcomes, "two answers"
                self.outcomes[message.exchange] = outcome
                self.answers[message.exchange] = b""
            elif isinstance(message, ReplyBody):
                self.answers[message.exchange] += message.data
            elif isinstance(message, ReplyAbort):
                self.outcomes[message.exchange] = "aborted"
                self.outcome_at_s[message.exchange] = self.now
            elif isinstance(message, ReplyEnd):
                self.outcome_at_s[message.exchange] = self.now

    def _deliver(self) -> None:
        for node, link in self.links.items():
            exit_ = self.exits[node]
            frozen = self.now < self.frozen_until_s.get(node, 0)
            if not frozen and self.now >= self.stalled_until_s.get((node, "out"), 0):
                while link["out"]:
                    self._receive_at_exit(exit_, link["out"].popleft())
            if self.now >= self.stalled_until_s.get((node, "in"), 0):
                while link["in"]:
                    self._receive_at_entry(node, link["in"].popleft())

    def _receive_at_exit(self, exit_: ModelExit, message) -> None:
        key = ExchangeKey("entry-1", message.number)
        if isinstance(message, m.Cancel):
            if exit_.gate.cancel(key):
                exit_.heads.pop(key, None)
            return
        if not isinstance(message, m.RequestHead):
            return
        arrival = Arrival(
            key,
            message.incarnation,
            message.echo_clock_s,
            message.target,
            message.customer,
            message.deadline_ms,
            message.idempotent,
        )
        exit_.heads.setdefault(key, message)
        self._process_exit_actions(exit_, exit_.gate.arrive(arrival, None, self.now))

    def _process_exit_actions(self, exit_: ModelExit, messages) -> None:
        link = self.links[exit_.node]["in"]
        for message in messages:
            number = message.key.number
            if isinstance(message, Refuse):
                exit_.heads.pop(message.key, None)
                link.append(m.Refusal(number, message.reason, 100))
            elif isinstance(message, Start):
                path = exit_.heads[message.key].path
                self.n_runs[int(path[1:])] += 1
                if int(path[1:]) in self.outcome_at_s:
                    delay_s = self.now - self.outcome_at_s[int(path[1:])]
                    self.max_run_delay_s = max(self.max_run_delay_s, delay_s)
                done_s = self.now + self.rng.choice((0.05, 0.2, 1.0))
                exit_.running.append((done_s, message.key))

    def _step_exit(self, exit_: ModelExit) -> None:
        link = self.links[exit_.node]["in"]
        if self.now >= exit_.next_heartbeat_s:
            exit_.next_heartbeat_s = self.now + HEARTBEAT_S
            link.append(
                m.Heartbeat(self.now, 0.0, 0, 0.0, (report(f"t-{exit_.node}"),))
            )
        self._process_exit_actions(exit_, exit_.gate.tick(self.now))
        for finished in [r for r in exit_.running if r[0] <= self.now]:
            exit_.running.remove(finished)
            key = finished[1]
            head = exit_.heads.pop(key)
            if self.rng.random() < 0.15:
                link.append(m.Failure(key.number, "truncated"))
            else:
                link.append(m.ResponseHead(key.number, 200, (), 0.0, 1.0, 0))
                link.append(m.ResponseBody(key.number, head.path.encode()))
                link.append(m.ResponseEnd(key.number))
            self._process_exit_actions(exit_, exit_.gate.finish(key, 1.0, self.now))

    def _receive_at_entry(self, node: str, message) -> None:
        if isinstance(message, m.Heartbeat):
            self.core.clocks_by_node[node] = message.clock_s
            self.target_selector.update_node(node, "z", message.targets)
            return
        self._process(self.core.receive(message, node, self.now))

    def violations(self) -> list[str]:
        """Return the false outcomes, and the runs that were repeated or late."""
        found = []
        for number, idempotent in self.idempotent.items():
            runs, outcome = self.n_runs[number], self.outcomes.get(number)
            if runs > 1 and not idempotent:
                found.append(f"{number} ran {runs} times")
            if outcome == "not-run" and runs:
                found.append(f"{number} ran, but its caller was told not-run")
            is_wrong_answer = self.answers.get(number) != f"/{number}".encode()
            if outcome == "answered" and is_wrong_answer:
                found.append(f"{number} got {self.answers[number]!r}")
            if outcome is None:
                found.append(f"{number} got no outcome")
        if self.max_run_delay_s > MAX_AGE_S + HEARTBEAT_S:
            found.append(f"a run began {self.max_run_delay_s:.1f} s after its outcome")
        return found
