"""Compares methods to enforce a customer's rate and burst across all nodes.

The methods are a static split over the nodes, one holder for each customer, and equal
shares at three or four holders. All but the static split run the real token lease
code; time is simulated.

    .venv/bin/python -m benchmarks.limits
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import (
    LIMIT_SETTINGS,
    Admitted,
    HolderLease,
    LimitSettings,
    LiveNode,
    Refused,
    SendTokenRequest,
    SendTokenSettlement,
    TablePlanner,
    TokenBucket,
    TokenClient,
    TokenServer,
)
from heatherspur.link import codec
from heatherspur.link import messages as m

ALLOCATIONS = ("static split", "one holder", "three shares", "four shares")
N_SHARES_BY_ALLOCATION = {"three shares": 3, "four shares": 4}
TICK_S = 0.05
FAULT_AT_S = 10.0
LOG_DELAY_S = 0.02


class Fleet(NamedTuple):
    """Size of a deployment.

    :param name: Name in the printed table.
    :param n_nodes: Number of nodes.
    :param n_zones: Number of availability zones.
    :param cross_s: One-way network delay between zones, in seconds.
    :param rates: Rates of the customers, in requests per second.
    """

    name: str
    n_nodes: int
    n_zones: int
    cross_s: float
    rates: tuple[float, ...]


TRILHAFORTE = Fleet("Trilhaforte", 24, 4, 0.003, (120, 80, 6, 5, 4, 3, 2, 2))
KITE = Fleet("Kite mesh", 27, 3, 0.005, (100, 60, 6, 5, 4, 3, 2, 2))


class Result(NamedTuple):
    """Figures of one run.

    :param excess: Largest number of tokens admitted beyond rate and burst.
    :param refused_ratio: Fraction of the requests within the limit that were refused.
    :param after_ratio: The same over the ten seconds after the fault.
    :param bytes_per_s: Bytes per second that a node sends for limits.
    :param wait_ms: 99th percentile of the wait for a token, in milliseconds.
    """

    excess: float
    refused_ratio: float
    after_ratio: float
    bytes_per_s: float
    wait_ms: float


class IdealBucket:
    """Reference token bucket for the whole fleet, without delays or failures."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.offered, self.admitted = burst, burst
        self.offered_at_s = self.admitted_at_s = 0.0
        self.excess = 0.0

    def offer(self, now: float) -> bool:
        """Return whether a request that arrives now is within the limit."""
        refilled = self.offered + (now - self.offered_at_s) * self.rate
        self.offered, self.offered_at_s = min(self.burst, refilled), now
        if self.offered < 1:
            return False
        self.offered -= 1
        return True

    def admit(self, now: float) -> None:
        """Record an admission and update the largest excess over the limit."""
        refilled = self.admitted + (now - self.admitted_at_s) * self.rate
        self.admitted, self.admitted_at_s = min(self.burst, refilled) - 1, now
        self.excess = max(self.excess, -self.admitted)


class Run:
    """One simulated run of a fleet.

    :param fleet: Size and rates of the fleet.
    :param allocation: One of :data:`ALLOCATIONS`.
    :param fault: ``none``, ``kill`` or ``log down``.
    :param noisy: Multiplier of the first customer's request rate.
    :param seed: Seed of all random choices.
    """

    def __init__(
        self, fleet: Fleet, allocation: str, fault: str, noisy: float, seed: int
    ):
        self.fleet, self.allocation, self.fault, self.noisy = (
            fleet,
            allocation,
            fault,
            noisy,
        )
        self.rng = random.Random(seed)
        self.now = 0.0
        self._sequence = itertools.count()
        self._events: list = []
        self.n_sent_bytes = 0
        self.ideal = {
            c: IdealBucket(rate, self._burst(rate))
            for c, rate in enumerate(fleet.rates)
        }
        self.counts: Counter[tuple[str, int]] = Counter()
        self.waits_s: list[float] = []
        self.dead: set[str] = set()
        self.names = [f"n{i}" for i in range(fleet.n_nodes)]
        self.zones = {n: f"z{i % fleet.n_zones}" for i, n in enumerate(self.names)}
        n_shares = N_SHARES_BY_ALLOCATION.get(allocation, 1)
        defaults = {setting.name: setting.default for setting in LIMIT_SETTINGS}
        values = {name: float(default) for name, default in defaults.items()}
        self.settings = LimitSettings(**{**values, "limit_shares": n_shares})
        self.tables = [self._first_table(n_shares)]
        self.servers_by_node = {n: self._token_server(n) for n in self.names}
        self.clients_by_node = {n: self._token_client(n) for n in self.names}
        self.static_buckets = {
            (n, c): TokenBucket(
                rate / fleet.n_nodes, self._burst(rate) / fleet.n_nodes, -1e6
            )
            for n in self.names
            for c, rate in enumerate(fleet.rates)
        }

    @staticmethod
    def _burst(rate: float) -> int:
        return max(4, int(rate))

    def _first_table(self, n_shares: int) -> LimitTable:
        shares = [Share(n, n, self.zones[n]) for n in self.names[:n_shares]]
        return LimitTable(1, tuple(shares))

    def _limit_of(self, customer: str) -> tuple[float, int]:
        rate = self.fleet.rates[int(customer)]
        return rate, self._burst(rate)

    def _token_server(self, name: str) -> TokenServer:
        holder_lease = HolderLease(name, name, self.settings)
        token_server = TokenServer(holder_lease, self.settings, self._limit_of)
        token_server.apply_tables(tuple(self.tables), {}, 0.0)
        return token_server

    def _token_client(self, name: str) -> TokenClient:
        shares = self.tables[0].shares
        near = [i for i, share in enumerate(shares) if share.zone == self.zones[name]]
        home = near[0] if near else self.rng.randrange(len(shares))
        token_client = TokenClient(self.settings, home)
        token_client.n_shares = len(shares)
        return token_client

    def schedule(self, delay_s: float, call, *arguments) -> None:
        """Schedule a call after a delay in seconds."""
        item = (self.now + delay_s, next(self._sequence), call, arguments)
        heapq.heappush(self._events, item)

    def run(self, seconds: float) -> Result:
        """Run the simulation and return its figures."""
        for customer in range(len(self.fleet.rates)):
            self._schedule_arrival(customer)
        self._tick()
        if self.fault == "kill":
            self.schedule(FAULT_AT_S, self._stop_holder)
        while self._events and self._events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        waits_s = sorted(self.waits_s) or [0.0]
        return Result(
            max(ideal.excess for ideal in self.ideal.values()),
            self._shortfall(""),
            self._shortfall(" after"),
            self.n_sent_bytes / seconds / self.fleet.n_nodes,
            waits_s[int(len(waits_s) * 0.99)] * 1000,
        )

    def _shortfall(self, when: str) -> float:
        """Return the fraction of requests within the limits that were not admitted.

        Requests of one customer are interchangeable: one that is admitted beyond the
        reference bucket's limit offsets one that is refused within it.
        """
        counts, customers = self.counts, range(len(self.fleet.rates))
        missing = sum(
            max(0, counts[f"inside{when}", c] - counts[f"admitted{when}", c])
            for c in customers
        )
        n_inside = sum(counts[f"inside{when}", c] for c in customers)
        return missing / max(1, n_inside)

    def _schedule_arrival(self, customer: int) -> None:
        rate = self.fleet.rates[customer] * 0.9
        rate *= self.noisy if customer == 0 else 1
        self.schedule(self.rng.expovariate(rate), self._arrive, customer)

    def _arrive(self, customer: int) -> None:
        self._schedule_arrival(customer)
        name = self.rng.choice([n for n in self.names if n not in self.dead])
        inside = self.ideal[customer].offer(self.now)
        self._count("inside", customer, inside)
        if self.allocation == "static split":
            admitted = self.static_buckets[name, customer].lease(1, self.now) == 1
            if admitted:
                self.static_buckets[name, customer].settle(1, 0)
            self._end(customer, inside, admitted, self.now)
            return
        request = (customer, inside, self.now)
        token_client = self.clients_by_node[name]
        self._apply_messages(
            name, token_client.request(str(customer), request, self.now)
        )

    def _count(self, what: str, customer: int, is_true: bool) -> None:
        self.counts[what, customer] += is_true
        if FAULT_AT_S <= self.now < FAULT_AT_S + 10:
            self.counts[f"{what} after", customer] += is_true

    def _end(
        self, customer: int, inside: bool, admitted: bool, arrived_at_s: float
    ) -> None:
        if admitted:
            self.ideal[customer].admit(self.now)
            self.waits_s.append(self.now - arrived_at_s)
            self._count("admitted", customer, True)

    def _apply_messages(self, name: str, messages) -> None:
        for message in messages:
            if isinstance(message, Admitted):
                customer, inside, arrived_at_s = message.request
                self._end(customer, inside, True, arrived_at_s)
            elif isinstance(message, Refused):
                customer, inside, arrived_at_s = message.request
                self._end(customer, inside, False, arrived_at_s)
            elif isinstance(message, SendTokenRequest | SendTokenSettlement):
                share = message.message.share
                self._send(name, self.tables[-1].shares[share].node, message.message)

    def _link_delay_s(self, a: str, b: str) -> float:
        if a == b:
            return 0.0
        return 0.0005 if self.zones[a] == self.zones[b] else self.fleet.cross_s

    def _send(self, sender: str, receiver: str, message) -> None:
        if sender != receiver:
            self.n_sent_bytes += len(codec.encode([message])) + 6
        if receiver in self.dead or sender in self.dead:
            return
        delay_s = self._link_delay_s(sender, receiver)
        self.schedule(delay_s, self._receive, receiver, sender, message)

    def _receive(self, name: str, sender: str, message) -> None:
        if name in self.dead:
            return
        token_server = self.servers_by_node[name]
        if isinstance(message, m.TokenRequest):
            self._send(name, sender, token_server.grant(sender, message, self.now))
        elif isinstance(message, m.TokenSettlement):
            token_server.settle(sender, message, self.now)
        elif isinstance(message, m.TableQuery):
            self._send(name, sender, token_server.answer_table_query(message))
        elif isinstance(message, m.TableConfirmation):
            token_server.holder_lease.record_answer(
                sender, message.round, message.epoch, self.now
            )
        else:
            self._apply_messages(
                name, self.clients_by_node[name].grant(message, self.now)
            )

    def _tick(self) -> None:
        self.schedule(TICK_S, self._tick)
        log_up = self.fault != "log down" or self.now < FAULT_AT_S
        for name in self.names:
            if name in self.dead:
                continue
            token_server = self.servers_by_node[name]
            if log_up:
                token_server.apply_tables(tuple(self.tables), {}, self.now)
                token_server.holder_lease.record_head_read(self.now - LOG_DELAY_S)
            if token_server.holder_lease.tenures or self.now < 1:
                _, queries = token_server.tick(self.now)
                for query in queries:
                    self._send(name, query.node, m.TableQuery(query.round, query.epoch))
            self._apply_messages(name, self.clients_by_node[name].tick(self.now))

    def _stop_holder(self) -> None:
        self.dead.add(self.tables[-1].shares[0].node)
        self.schedule(self.settings.limit_suspect_s, self._replace_holder)

    def _replace_holder(self) -> None:
        """Add the table that a live node proposes once it suspects a holder."""
        live = [LiveNode(n, n, self.zones[n]) for n in self.names if n not in self.dead]
        planner = TablePlanner(live[0], self.settings, -100.0)
        table = None
        for step in range(100):
            table = table or planner.plan(self.tables[-1], live, step * 0.1)
        self.tables.append(table)


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=25)
    options = parser.parse_args()
    print("| fleet | way | fault | first customer | excess tokens | refused inside ")
    print("| 10 s after the fault | bytes/s a node | wait p99 ms |")
    for fleet in (TRILHAFORTE, KITE):
        for fault, noisy in (("none", 1), ("none", 5), ("kill", 1), ("log down", 1)):
            for allocation in ALLOCATIONS:
                result = Run(fleet, allocation, fault, noisy, 1).run(options.seconds)
                print(
                    f"| {fleet.name} | {allocation} | {fault} | {noisy} x "
                    f"| {result.excess:.3f} | {result.refused_ratio:.3%} "
                    f"| {result.after_ratio:.3%} | {result.bytes_per_s:.0f} "
                    f"| {result.wait_ms:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
