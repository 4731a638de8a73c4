"""Model of nodes, log and links that searches interleavings of failures.

Each seed drives one run with one-way network partitions, delayed and duplicated
messages, log outages, pauses, restarts that lose all state, and new tables, all at
random times. The invariant: over all nodes and holders, no more tokens of a share are
spent than the share's rate and burst allow. The shares add up to the customer's limit,
so the same holds for the customer, which is checked as well.
"""

import random
from collections import deque
from typing import NamedTuple

from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import (
    Admitted,
    HolderLease,
    LimitSettings,
    SendTokenRequest,
    SendTokenSettlement,
    TokenClient,
    TokenServer,
    split_limit,
)
from heatherspur.link import messages as m

RATE_PER_S, BURST = 8.0, 6
MAX_CLOCK_RATE = 1.01
STEP_S = 0.05
N_STEPS = 700
N_SHARES = 3
NODES = ("n1", "n2", "n3", "n4")
SETTINGS = LimitSettings(N_SHARES, 0.6, 0.4, 0.3, 1.0, 86400.0)


class MessageInFlight(NamedTuple):
    sender: str
    incarnation: str
    receiver: str
    message: object
    arrives_at_s: float


class ReportingTokenClient(TokenClient):
    """Token client that reports the share of each spent token."""

    on_spent = None

    def _spend(self, account, now):
        before = {lease: lease.spent for lease in account.leases}
        is_spent = super()._spend(account, now)
        for lease, spent in before.items():
            if lease.spent != spent:
                self.on_spent(lease.share)
        return is_spent


class ReferenceBucket:
    """Reference bucket that sees every spent token without failures or delays."""

    def __init__(self, rate: float, burst: float, now: float):
        self.rate, self.burst = rate, burst
        self.level, self.at_s = burst, now
        self.excess = 0.0

    def spend(self, now: float) -> None:
        refilled = self.level + (now - self.at_s) * self.rate * MAX_CLOCK_RATE
        self.level, self.at_s = min(self.burst, refilled) - 1, now
        self.excess = max(self.excess, -self.level)


class ModelNode:
    """One incarnation of a node; it starts without any state of the previous one."""

    def __init__(self, model, name: str):
        self.name = name
        self.incarnation = f"{name}-{model.rng.getrandbits(32)}"
        self.rate = model.rng.uniform(2 - MAX_CLOCK_RATE, MAX_CLOCK_RATE)
        holder_lease = model.lease_class(name, self.incarnation, SETTINGS)
        self.token_server = model.server_class(
            holder_lease, SETTINGS, lambda _: (RATE_PER_S, BURST)
        )
        self.token_client = ReportingTokenClient(SETTINGS, NODES.index(name) % N_SHARES)
        self.token_client.on_spent = model.record_spent
        self.offset = 0
        self.tables: list[LimitTable] = []
        self.settled: dict[int, int] = {}
        self.paused_until_s = 0.0
        self.log_answers: deque = deque()


class Model:
    """All nodes, the log and the messages in flight."""

    def __init__(self, seed, lease_class=HolderLease, server_class=TokenServer):
        self.rng = random.Random(seed)
        self.lease_class = lease_class
        self.server_class = server_class
        self.now = 100.0
        self.log: list[tuple] = []
        self.log_outage_until_s = 0.0
        self.partitioned_until: dict[tuple[str, str], float] = {}
        self.log_cut_until: dict[str, float] = {}
        self.in_flight: list[MessageInFlight] = []
        self.nodes = {name: ModelNode(self, name) for name in NODES}
        parts = [split_limit(RATE_PER_S, BURST, "c", i, N_SHARES) for i in range(3)]
        self.share_buckets = [ReferenceBucket(*part, self.now) for part in parts]
        self.whole = ReferenceBucket(RATE_PER_S, BURST, self.now)
        self.n_admitted = 0
        shares = [self._share(name) for name in NODES[:N_SHARES]]
        self.log.append(("table", LimitTable(1, tuple(shares))))

    def _share(self, name: str) -> Share:
        return Share(name, self.nodes[name].incarnation, name)

    def clock(self, node: ModelNode) -> float:
        return self.now * node.rate

    def run(self) -> float:
        """Run all steps, and return the largest excess over a limit, in tokens."""
        for _ in range(N_STEPS):
            self.now += STEP_S
            self._inject_failures()
            self._deliver()
            for node in self.nodes.values():
                if self.now >= node.paused_until_s:
                    self._step(node)
        return max(bucket.excess for bucket in [self.whole, *self.share_buckets])

    def _inject_failures(self) -> None:
        rng = self.rng
        if rng.random() < 0.006:
            name = rng.choice(NODES)
            self.nodes[name].paused_until_s = self.now + rng.uniform(0.1, 4)
        if rng.random() < 0.004:
            name = rng.choice(NODES)
            self.nodes[name] = ModelNode(self, name)
        if rng.random() < 0.012:
            pair = tuple(rng.sample(NODES, 2))
            self.partitioned_until[pair] = self.now + rng.uniform(0.2, 6)
        if rng.random() < 0.004:
            self.log_outage_until_s = self.now + rng.uniform(0.5, 8)
        if rng.random() < 0.008:
            self.log_cut_until[rng.choice(NODES)] = self.now + rng.uniform(0.5, 8)
        if rng.random() < 0.005:
            self._isolate(rng.choice(NODES))
        if rng.random() < 0.008:
            self._propose()

    def _isolate(self, name: str) -> None:
        """Partition a node from the log and from some nodes, and replace it."""
        until_s = self.now + self.rng.uniform(3, 9)
        self.log_cut_until[name] = until_s
        for other in self.rng.sample(NODES, 2):
            self.partitioned_until[name, other] = until_s
            if self.rng.random() < 0.5:
                self.partitioned_until[other, name] = until_s
                self.log_cut_until[other] = until_s
        self._propose(name)

    def _propose(self, gone: str = "") -> None:
        tables = [record[1] for record in self.log if record[0] == "table"]
        shares = list(tables[-1].shares)
        held = [i for i, share in enumerate(shares) if share.node == gone]
        index = held[0] if held else self.rng.randrange(N_SHARES)
        others = [name for name in NODES if name != gone]
        shares[index] = self._share(self.rng.choice(others))
        if self._is_log_reachable(self.rng.choice(NODES)):
            self.log.append(("table", LimitTable(len(tables) + 1, tuple(shares))))

    def _is_log_reachable(self, name: str) -> bool:
        is_up = self.now >= self.log_outage_until_s
        return is_up and self.now >= self.log_cut_until.get(name, 0.0)

    def _send(self, node: ModelNode, receiver: str, message) -> None:
        if self.now < self.partitioned_until.get((node.name, receiver), 0.0):
            return
        delay_s = 0.01 if self.rng.random() < 0.96 else self.rng.uniform(0.05, 1.5)
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            sent = MessageInFlight(
                node.name, node.incarnation, receiver, message, self.now + delay_s
            )
            self.in_flight.append(sent)

    def _deliver(self) -> None:
        due = [f for f in self.in_flight if f.arrives_at_s <= self.now]
        for sent in due:
            node = self.nodes[sent.receiver]
            if self.now < node.paused_until_s:
                continue
            self.in_flight.remove(sent)
            self._receive(node, sent)

    def _receive(self, node: ModelNode, sent: MessageInFlight) -> None:
        now, message = self.clock(node), sent.message
        if isinstance(message, m.TokenRequest):
            grant = node.token_server.grant(sent.incarnation, message, now)
            self._send(node, sent.sender, (sent.incarnation, grant))
        elif isinstance(message, m.TokenSettlement):
            node.token_server.settle(sent.incarnation, message, now)
        elif isinstance(message, m.TableQuery):
            answer = node.token_server.answer_table_query(message)
            self._send(node, sent.sender, (sent.incarnation, answer))
        elif message[0] == node.incarnation:
            self._receive_answer(node, sent.sender, message[1], now)

    def _receive_answer(self, node: ModelNode, sender: str, answer, now: float) -> None:
        if isinstance(answer, m.TableConfirmation):
            node.token_server.holder_lease.record_answer(
                sender, answer.round, answer.epoch, now
            )
        else:
            self._process(node, node.token_client.grant(answer, now))

    def _step(self, node: ModelNode) -> None:
        now = self.clock(node)
        self._read_log(node, now)
        holder_lease = node.token_server.holder_lease
        if holder_lease.table is not None:
            node.token_client.n_shares = N_SHARES
        started, asks = node.token_server.tick(now)
        for tenure in started:
            if self._is_log_reachable(node.name):
                self.log.append(("settled", tenure.share, tenure.first_epoch))
        for ask in asks:
            self._send(node, ask.node, m.TableQuery(ask.round, ask.epoch))
        if self.rng.random() < 0.5:
            self._process(node, node.token_client.request("c", None, now))
        self._process(node, node.token_client.tick(now))

    def _read_log(self, node: ModelNode, now: float) -> None:
        """Process the answer to an earlier read of the log, and send another read."""
        if node.log_answers and node.log_answers[0][0] <= self.now:
            _, asked_at_s, head = node.log_answers.popleft()
            for record in self.log[node.offset : head]:
                if record[0] == "table":
                    node.tables.append(record[1])
                else:
                    known = node.settled.get(record[1], 0)
                    node.settled[record[1]] = max(known, record[2])
            node.offset = max(node.offset, head)
            node.token_server.apply_tables(tuple(node.tables), node.settled, now)
            node.token_server.holder_lease.record_head_read(asked_at_s)
        if not node.log_answers and self._is_log_reachable(node.name):
            delay_s = self.rng.choice((0.02, 0.1, 0.5))
            node.log_answers.append((self.now + delay_s, now, len(self.log)))

    def _process(self, node: ModelNode, messages) -> None:
        for message in messages:
            if isinstance(message, Admitted):
                self.n_admitted += 1
            elif isinstance(message, SendTokenRequest | SendTokenSettlement):
                table = node.token_server.holder_lease.table
                holder = table.shares[message.message.share].node
                self._send(node, holder, message.message)

    def record_spent(self, share: int) -> None:
        """Check a spent token against the reference buckets."""
        self.share_buckets[share].spend(self.now)
        self.whole.spend(self.now)
