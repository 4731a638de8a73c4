"""Compares ways to hold a customer's rate and burst over all nodes.

Static split over nodes, one holder for each customer, and equal shares at three
holders. The last two run the real lending code; times are simulated.

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

WAYS = ("static split", "one holder", "three shares", "four shares")
N_SHARES_BY_WAY = {"three shares": 3, "four shares": 4}
TICK_S = 0.05
FAULT_AT_S = 10.0
LOG_DELAY_S = 0.02


class Fleet(NamedTuple):
    """Size of a deployment.

    :param name: Name for the table.
    :param n_nodes: Nodes.
    :param n_zones: Zones.
    :param cross_s: One way between zones, in seconds.
    :param rates: Rates of the customers, in requests a second.
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

    :param excess: Tokens over rate and burst at worst.
    :param refused_ratio: Refusals of requests inside the limit, of all such requests.
    :param after_ratio: The same over the ten seconds after the fault.
    :param bytes_per_s: Bytes a second that a node sends for limits.
    :param wait_ms: 99th percentile of the wait for a token, in milliseconds.
    """

    excess: float
    refused_ratio: float
    after_ratio: float
    bytes_per_s: float
    wait_ms: float


class Ideal:
    """A bucket for the whole fleet that knows of no failure."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.offered, self.admitted = burst, burst
        self.offered_at_s = self.admitted_at_s = 0.0
        self.excess = 0.0

    def offer(self, now: float) -> bool:
        """Tell whether a request that comes now is inside the limit."""
        grown = self.offered + (now - self.offered_at_s) * self.rate
        self.offered, self.offered_at_s = min(self.burst, grown), now
        if self.offered < 1:
            return False
        self.offered -= 1
        return True

    def admit(self, now: float) -> None:
        """Check an admission against the limit."""
        grown = self.admitted + (now - self.admitted_at_s) * self.rate
        self.admitted, self.admitted_at_s = min(self.burst, grown) - 1, now
        self.excess = max(self.excess, -self.admitted)


class Run:
    """One run of a fleet.

    :param fleet: The fleet.
    :param way: One of :data:`WAYS`.
    :param fault: ``none``, ``kill`` or ``log down``.
    :param noisy: Times its rate that the first customer sends.
    :param seed: Seed.
    """

    def __init__(self, fleet: Fleet, way: str, fault: str, noisy: float, seed: int):
        self.fleet, self.way, self.fault, self.noisy = fleet, way, fault, noisy
        self.rng = random.Random(seed)
        self.now = 0.0
        self._order = itertools.count()
        self._events: list = []
        self.n_sent_bytes = 0
        self.ideal = {
            c: Ideal(rate, self._burst(rate)) for c, rate in enumerate(fleet.rates)
        }
        self.counts: Counter[tuple[str, int]] = Counter()
        self.waits: list[float] = []
        self.dead: set[str] = set()
        self.names = [f"n{i}" for i in range(fleet.n_nodes)]
        self.zones = {n: f"z{i % fleet.n_zones}" for i, n in enumerate(self.names)}
        n_shares = N_SHARES_BY_WAY.get(way, 1)
        defaults = {setting.name: setting.default for setting in LIMIT_SETTINGS}
        values = {name: float(default) for name, default in defaults.items()}
        self.settings = LimitSettings(**{**values, "limit_shares": n_shares})
        self.tables = [self._first_table(n_shares)]
        self.lenders = {n: self._token_server(n) for n in self.names}
        self.borrowers = {n: self._borrower(n) for n in self.names}
        self.split = {
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

    def _borrower(self, name: str) -> TokenClient:
        shares = self.tables[0].shares
        near = [i for i, share in enumerate(shares) if share.zone == self.zones[name]]
        home = near[0] if near else self.rng.randrange(len(shares))
        token_client = TokenClient(self.settings, home)
        token_client.n_shares = len(shares)
        return token_client

    def at(self, delay_s: float, call, *arguments) -> None:
        """Call something later."""
        item = (self.now + delay_s, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def run(self, seconds: float) -> Result:
        """Return the figures of the run."""
        for customer in range(len(self.fleet.rates)):
            self._next(customer)
        self._tick()
        if self.fault == "kill":
            self.at(FAULT_AT_S, self._kill)
        while self._events and self._events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        waits = sorted(self.waits) or [0.0]
        return Result(
            max(ideal.excess for ideal in self.ideal.values()),
            self._shortfall(""),
            self._shortfall(" after"),
            self.n_sent_bytes / seconds / self.fleet.n_nodes,
            waits[int(len(waits) * 0.99)] * 1000,
        )

    def _shortfall(self, when: str) -> float:
        """Return the share of requests inside the limits that were not admitted.

        Requests of one customer count alike: one that is admitted beyond the limit
        in the ideal order makes up for one that is refused inside it.
        """
        counts, customers = self.counts, range(len(self.fleet.rates))
        missing = sum(
            max(0, counts[f"inside{when}", c] - counts[f"admitted{when}", c])
            for c in customers
        )
        n_inside = sum(counts[f"inside{when}", c] for c in customers)
        return missing / max(1, n_inside)

    def _next(self, customer: int) -> None:
        rate = self.fleet.rates[customer] * 0.9
        rate *= self.noisy if customer == 0 else 1
        self.at(self.rng.expovariate(rate), self._arrive, customer)

    def _arrive(self, customer: int) -> None:
        self._next(customer)
        name = self.rng.choice([n for n in self.names if n not in self.dead])
        inside = self.ideal[customer].offer(self.now)
        self._count("inside", customer, inside)
        if self.way == "static split":
            admitted = self.split[name, customer].lease(1, self.now) == 1
            if admitted:
                self.split[name, customer].settle(1, 0)
            self._end(customer, inside, admitted, self.now)
            return
        request = (customer, inside, self.now)
        token_client = self.borrowers[name]
        self._carry_out(name, token_client.request(str(customer), request, self.now))

    def _count(self, what: str, customer: int, is_true: bool) -> None:
        self.counts[what, customer] += is_true
        if FAULT_AT_S <= self.now < FAULT_AT_S + 10:
            self.counts[f"{what} after", customer] += is_true

    def _end(self, customer: int, inside: bool, admitted: bool, since: float) -> None:
        if admitted:
            self.ideal[customer].admit(self.now)
            self.waits.append(self.now - since)
            self._count("admitted", customer, True)

    def _carry_out(self, name: str, messages) -> None:
        for message in messages:
            if isinstance(message, Admitted):
                customer, inside, since = message.request
                self._end(customer, inside, True, since)
            elif isinstance(message, Refused):
                customer, inside, since = message.request
                self._end(customer, inside, False, since)
            elif isinstance(message, SendTokenRequest | SendTokenSettlement):
                share = message.message.share
                self._send(name, self.tables[-1].shares[share].node, message.message)

    def _way_s(self, a: str, b: str) -> float:
        if a == b:
            return 0.0
        return 0.0005 if self.zones[a] == self.zones[b] else self.fleet.cross_s

    def _send(self, sender: str, receiver: str, message) -> None:
        if sender != receiver:
            self.n_sent_bytes += len(codec.encode([message])) + 6
        if receiver in self.dead or sender in self.dead:
            return
        delay_s = self._way_s(sender, receiver)
        self.at(delay_s, self._receive, receiver, sender, message)

    def _receive(self, name: str, sender: str, message) -> None:
        if name in self.dead:
            return
        token_server = self.lenders[name]
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
            self._carry_out(name, self.borrowers[name].grant(message, self.now))

    def _tick(self) -> None:
        self.at(TICK_S, self._tick)
        log_up = self.fault != "log down" or self.now < FAULT_AT_S
        for name in self.names:
            if name in self.dead:
                continue
            token_server = self.lenders[name]
            if log_up:
                token_server.apply_tables(tuple(self.tables), {}, self.now)
                token_server.holder_lease.record_head_read(self.now - LOG_DELAY_S)
            if token_server.holder_lease.tenures or self.now < 1:
                _, asks = token_server.tick(self.now)
                for ask in asks:
                    self._send(name, ask.node, m.TableQuery(ask.round, ask.epoch))
            self._carry_out(name, self.borrowers[name].tick(self.now))

    def _kill(self) -> None:
        self.dead.add(self.tables[-1].shares[0].node)
        self.at(self.settings.limit_suspect_s, self._replace)

    def _replace(self) -> None:
        """Propose as a surviving holder, or any node, does once it suspects."""
        live = [LiveNode(n, n, self.zones[n]) for n in self.names if n not in self.dead]
        planner = TablePlanner(live[0], self.settings, -100.0)
        table = None
        for step in range(100):
            table = table or planner.plan(self.tables[-1], live, step * 0.1)
        self.tables.append(table)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=25)
    options = parser.parse_args()
    print("| fleet | way | fault | first customer | excess tokens | refused inside ")
    print("| 10 s after the fault | bytes/s a node | wait p99 ms |")
    for fleet in (TRILHAFORTE, KITE):
        for fault, noisy in (("none", 1), ("none", 5), ("kill", 1), ("log down", 1)):
            for way in WAYS:
                result = Run(fleet, way, fault, noisy, 1).run(options.seconds)
                print(
                    f"| {fleet.name} | {way} | {fault} | {noisy} x "
                    f"| {result.excess:.3f} | {result.refused_ratio:.3%} "
                    f"| {result.after_ratio:.3%} | {result.bytes_per_s:.0f} "
                    f"| {result.wait_ms:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
