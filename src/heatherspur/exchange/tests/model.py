"""A small model of entries, exits and targets that searches interleavings.

Messages between an entry and an exit travel in order over a link that may stall, be
cut or repeat its newest request on the next link. Exits restart and forget all.
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
    """One incarnation of an exit and the target beside it."""

    def __init__(self, model, node: str):
        self.node = node
        self.incarnation = f"{node}-{model.rng.getrandbits(32)}"
        self.gate = model.gate_class(self.incarnation, MAX_AGE_S)
        self.gate.set_target(f"t-{node}", 2, 4)
        self.heads: dict[ExchangeKey, m.RequestHead] = {}
        self.running: list[tuple[float, ExchangeKey]] = []
        self.next_beat_s = 0.0


class Model:
    """One entry, two exits, and the truth about what ran."""

    def __init__(self, seed, core_class=EntryCore, gate_class=ExitGate):
        self.rng = random.Random(seed)
        self.gate_class = gate_class
        self.now = 100.0
        self.target_selector = TargetSelector("z", self.rng)
        budget = RetryBudget(100, self.now)
        self.core = core_class(self.target_selector, budget, 3, lambda: 0)
        self.exits = {node: ModelExit(self, node) for node in NODES}
        self.links: dict[str, dict[str, deque]] = {}
        self.stalled_until: dict[tuple[str, str], float] = {}
        self.frozen_until: dict[str, float] = {}
        self.last_head: dict[str, m.RequestHead] = {}
        self.n_runs: Counter[int] = Counter()
        self.told_at_s: dict[int, float] = {}
        self.outcomes: dict[int, str] = {}
        self.answers: dict[int, bytes] = {}
        self.idempotent: dict[int, bool] = {}
        self.latest_run_s = 0.0
        for node in NODES:
            self._link(node)

    def _link(self, node: str) -> None:
        self.links[node] = {"out": deque(), "in": deque()}
        self.core.incarnations_by_node[node] = self.exits[node].incarnation
        self.core.clocks_by_node.pop(node, None)
        self.target_selector.update_node(node, "z", ())

    def run(self) -> None:
        for step in range(N_STEPS):
            self.now += STEP_S
            self._disturb()
            if self.rng.random() < 0.5 and step < N_STEPS - 80:
                self._request(step + 1)
            self._move()
            self._carry_out(self.core.tick(self.now))
            for exit_ in self.exits.values():
                if self.now >= self.frozen_until.get(exit_.node, 0):
                    self._step_exit(exit_)

    def _disturb(self) -> None:
        rng = self.rng
        node = rng.choice(NODES)
        if rng.random() < 0.02:
            self._cut(node)
        if rng.random() < 0.01:
            self.exits[node] = ModelExit(self, node)
            self._cut(node)
        if rng.random() < 0.03:
            way = rng.choice(("out", "in"))
            self.stalled_until[node, way] = self.now + rng.uniform(0.5, 6)
        if rng.random() < 0.015:
            self.frozen_until[node] = self.now + rng.uniform(0.5, 6)

    def _cut(self, node: str) -> None:
        """Lose the link and what is on it; its newest request may come again."""
        self.target_selector.remove_node(node)
        exit_ = self.exits[node]
        for key in list(exit_.heads):
            if exit_.gate.cancel(key):
                del exit_.heads[key]
        on_the_way = list(self.links[node]["out"])
        self._link(node)
        self._carry_out(self.core.handle_link_loss(node, self.now))
        heads = [item for item in on_the_way if isinstance(item, m.RequestHead)]
        if node in self.last_head and self.rng.random() < 0.5:
            heads.append(self.last_head[node])
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
        self._carry_out(self.core.admit(number, self.now))

    def _carry_out(self, messages) -> None:
        for message in messages:
            if isinstance(message, SendTo):
                self.links[message.node]["out"].append(message.message)
                if isinstance(message.message, m.RequestHead):
                    self.last_head[message.node] = message.message
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
                self.told_at_s[message.exchange] = self.now
            elif isinstance(message, ReplyEnd):
                self.told_at_s[message.exchange] = self.now

    def _move(self) -> None:
        for node, link in self.links.items():
            exit_ = self.exits[node]
            frozen = self.now < self.frozen_until.get(node, 0)
            if not frozen and self.now >= self.stalled_until.get((node, "out"), 0):
                while link["out"]:
                    self._at_exit(exit_, link["out"].popleft())
            if self.now >= self.stalled_until.get((node, "in"), 0):
                while link["in"]:
                    self._at_entry(node, link["in"].popleft())

    def _at_exit(self, exit_: ModelExit, message) -> None:
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
        self._exit_messages(exit_, exit_.gate.arrive(arrival, None, self.now))

    def _exit_messages(self, exit_: ModelExit, messages) -> None:
        link = self.links[exit_.node]["in"]
        for message in messages:
            number = message.key.number
            if isinstance(message, Refuse):
                exit_.heads.pop(message.key, None)
                link.append(m.Refusal(number, message.reason, 100))
            elif isinstance(message, Start):
                path = exit_.heads[message.key].path
                self.n_runs[int(path[1:])] += 1
                if int(path[1:]) in self.told_at_s:
                    late_s = self.now - self.told_at_s[int(path[1:])]
                    self.latest_run_s = max(self.latest_run_s, late_s)
                done_s = self.now + self.rng.choice((0.05, 0.2, 1.0))
                exit_.running.append((done_s, message.key))

    def _step_exit(self, exit_: ModelExit) -> None:
        link = self.links[exit_.node]["in"]
        if self.now >= exit_.next_beat_s:
            exit_.next_beat_s = self.now + HEARTBEAT_S
            link.append(
                m.Heartbeat(self.now, 0.0, 0, 0.0, (report(f"t-{exit_.node}"),))
            )
        self._exit_messages(exit_, exit_.gate.tick(self.now))
        for done in [r for r in exit_.running if r[0] <= self.now]:
            exit_.running.remove(done)
            key = done[1]
            head = exit_.heads.pop(key)
            if self.rng.random() < 0.15:
                link.append(m.Failure(key.number, "truncated"))
            else:
                link.append(m.ResponseHead(key.number, 200, (), 0.0, 1.0, 0))
                link.append(m.ResponseBody(key.number, head.path.encode()))
                link.append(m.ResponseEnd(key.number))
            self._exit_messages(exit_, exit_.gate.finish(key, 1.0, self.now))

    def _at_entry(self, node: str, message) -> None:
        if isinstance(message, m.Heartbeat):
            self.core.clocks_by_node[node] = message.clock_s
            self.target_selector.update_node(node, "z", message.targets)
            return
        self._carry_out(self.core.receive(message, node, self.now))

    def violations(self) -> list[str]:
        """Return what was untrue about any request."""
        found = []
        for number, idempotent in self.idempotent.items():
            runs, outcome = self.n_runs[number], self.outcomes.get(number)
            if runs > 1 and not idempotent:
                found.append(f"{number} ran {runs} times")
            if outcome == "not-run" and runs:
                found.append(f"{number} ran, but its caller was told not-run")
            is_other = self.answers.get(number) != f"/{number}".encode()
            if outcome == "answered" and is_other:
                found.append(f"{number} got {self.answers[number]!r}")
            if outcome is None:
                found.append(f"{number} got no outcome")
        if self.latest_run_s > MAX_AGE_S + HEARTBEAT_S:
            found.append(f"a run began {self.latest_run_s:.1f} s after its outcome")
        return found
