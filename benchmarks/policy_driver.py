"""Drives the decision logic of one service with generated traffic and faults.

Entries select targets with :class:`TargetSelector`; exits queue requests with
:class:`ExitGate` and detect gray targets with :class:`TargetEjector`. The permit
holder enforces the floor. Two baselines replace these: round robin without ejection,
and ejection after consecutive errors.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from typing import NamedTuple

from heatherspur.exchange import Arrival, ExchangeKey, ExitGate, Refuse, Start
from heatherspur.link.messages import TargetReport
from heatherspur.routing import (
    AskPermit,
    NoTarget,
    PeerSample,
    PermitLedger,
    RetryBudget,
    RoutingSettings,
    StateChanged,
    TargetEjector,
    TargetSelector,
    max_ejected,
)

POLICIES = ("heatherspur", "round robin", "consecutive errors")
ROUTING = RoutingSettings(5.0, 3.0, 4.0, 3, 20)
REPORT_S = 0.4
FIRST_ARRIVAL_S = 0.1
TICK_S = 0.1
TIMEOUT_S = 2.0
PERMIT_DELAY_S = 0.01
N_CONSECUTIVE_ERRORS = 5
BASE_EJECTION_S = 30.0


class Deployment(NamedTuple):
    """One service of a deployment.

    :param name: Name in the printed table.
    :param n_targets: Number of targets.
    :param n_zones: Number of availability zones.
    :param slots: Slots per target.
    :param cross_ms: One-way network delay between zones, in milliseconds.
    :param service_class: Service class in the catalogue.
    :param floor: Floor in the catalogue: the fraction of targets that stays in use.
    """

    name: str
    n_targets: int
    n_zones: int
    slots: int
    cross_ms: float
    service_class: str
    floor: float


PERMITS = Deployment("Trilhaforte permits", 8, 4, 3, 3.0, "steady", 0.5)
CONTESTS = Deployment("Kite contests", 12, 3, 4, 5.0, "swift", 0.5)


class Scenario(NamedTuple):
    """Generated traffic and injected fault of one run.

    :param fault: Name of the fault.
    :param rate_per_target: Requests per second and target.
    :param seconds: Duration of the run, in seconds.
    :param fault_at_s: Start of the fault, in seconds since the start of the run.
    :param service_ms: Median service time, in milliseconds.
    :param noisy_factor: Multiplier of the first customer's request rate.
    """

    fault: str = "none"
    rate_per_target: float = 10.0
    seconds: float = 60.0
    fault_at_s: float = 20.0
    service_ms: float = 20.0
    noisy_factor: float = 1.0


class Measures(NamedTuple):
    """User-visible measures of one run.

    :param detection_s: Time from the fault to the first ejection of the faulty
        target; ``None`` if there was none.
    :param n_false: Ejections of targets without a fault.
    :param worst_p99_ms: Highest 99th percentile of latency of any customer in its rate.
    :param refused_ratio: Ratio of requests refused although within the customer's rate.
    :param failed_ratio: Ratio of requests without an answer, not counting refusals.
    :param least_in_use: Lowest number of targets in use at any time.
    """

    detection_s: float | None
    n_false: int
    worst_p99_ms: float
    refused_ratio: float
    failed_ratio: float
    least_in_use: int


class Request:
    """The state of one request, from arrival to its final answer."""

    __slots__ = ("attempts", "customer", "done", "entry", "excluded", "key", "sent_s",
                 "started_s", "target", "tried_s", "view", "way_s")  # fmt: skip

    def __init__(self, entry: int, customer: int, now: float) -> None:
        self.entry, self.customer, self.sent_s = entry, customer, now
        self.attempts, self.excluded = 0, frozenset()
        self.done, self.key, self.target, self.view = False, None, 0, None
        self.started_s: float | None = None
        self.tried_s = self.way_s = 0.0


CUSTOMER_SHARES = (0.35, 0.25, 0.1, 0.08, 0.07, 0.06, 0.05, 0.04)


class Driver:
    """One simulated run.

    :param deployment: The service to simulate.
    :param scenario: Traffic and fault.
    :param policy: One of :data:`POLICIES`.
    :param seed: Seed of all random choices.
    """

    def __init__(
        self, deployment: Deployment, scenario: Scenario, policy: str, seed: int
    ) -> None:
        self.deployment, self.scenario, self.policy = deployment, scenario, policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self._sequence = itertools.count()
        self._events: list = []
        n = deployment.n_targets
        self.zones = [f"z{i % deployment.n_zones}" for i in range(n)]
        self.gates = [ExitGate(f"i{i}", 1e9) for i in range(n)]
        self.ejectors = [self._new_ejector(i) for i in range(n)]
        self.permits = PermitLedger(ROUTING.permit_lapse_s)
        self.target_selectors = [
            TargetSelector(self.zones[i], random.Random(seed + i)) for i in range(n)
        ]
        self.budgets = [RetryBudget(20, 0.0) for _ in range(n)]
        self.numbers = itertools.count(1)
        self.requests: dict[ExchangeKey, Request] = {}
        self.ejected_until_s = [0.0] * n
        self.n_errors = [0] * n
        self.last_target_by_entry = [self.rng.randrange(n) for _ in range(n)]
        self.first_ejection_s: float | None = None
        self.n_false = 0
        self.n_refused = self.n_failed = self.n_total = 0
        self.least_in_use = n
        self.latencies: dict[int, list[float]] = defaultdict(list)
        for i in range(n):
            self.gates[i].set_target(f"t{i}", deployment.slots, 64)

    def _new_ejector(self, i: int, started_s: float = -60.0) -> TargetEjector:
        return TargetEjector(
            "s", f"t{i}", self.deployment.service_class, ROUTING, started_s
        )

    def _restart_target(self) -> None:
        self.ejectors[1] = self._new_ejector(1, self.now)

    def schedule(self, delay_s: float, call, *arguments) -> None:
        """Schedule a call after a delay in seconds."""
        item = (self.now + delay_s, next(self._sequence), call, arguments)
        heapq.heappush(self._events, item)

    def run(self) -> Measures:
        """Run the simulation and return its measures."""
        self._report(first=True)
        if self.scenario.fault == "cold start":
            self.schedule(self.scenario.fault_at_s, self._restart_target)
        self._tick()
        self.now = FIRST_ARRIVAL_S
        for customer in range(len(CUSTOMER_SHARES)):
            self._next_arrival(customer)
        while self._events and self._events[0][0] < self.scenario.seconds:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        p99 = [
            _quantile(v, 0.99)
            for c, v in self.latencies.items()
            if self._is_within_rate(c)
        ]
        total = max(1, self.n_total)
        return Measures(
            None
            if self.first_ejection_s is None
            else self.first_ejection_s - self.scenario.fault_at_s,
            self.n_false,
            max(p99, default=0.0),
            self.n_refused / total,
            self.n_failed / total,
            self.least_in_use,
        )

    def _is_within_rate(self, customer: int) -> bool:
        return self.scenario.noisy_factor == 1.0 or customer != 0

    def _next_arrival(self, customer: int) -> None:
        rate = (
            CUSTOMER_SHARES[customer]
            * self.scenario.rate_per_target
            * self.deployment.n_targets
        )
        if customer == 0:
            rate *= self.scenario.noisy_factor
        self.schedule(self.rng.expovariate(rate), self._arrive, customer)

    def _arrive(self, customer: int) -> None:
        self._next_arrival(customer)
        request = Request(
            self.rng.randrange(self.deployment.n_targets), customer, self.now
        )
        self.n_total += self._is_within_rate(customer)
        self.schedule(TIMEOUT_S, self._time_out, request)
        self._send(request)

    # Target selection, by policy.

    def _send(self, request: Request) -> None:
        request.attempts += 1
        selected = self._select_target(request)
        if selected is None:
            self._finish(request, "refused")
            return
        request.target = selected
        request.tried_s = self.now
        self.schedule(self._draw_link_delay_s(request), self._at_exit, request)

    def _select_target(self, request: Request) -> int | None:
        if self.policy == "heatherspur":
            target_selector = self.target_selectors[request.entry]
            try:
                view = target_selector.select(
                    "s", self.deployment.floor, True, request.excluded, self.now
                )
            except NoTarget:
                return None
            request.view = view
            view.n_open += 1
            return int(view.target[1:])
        n = self.deployment.n_targets
        for _ in range(n):
            self.last_target_by_entry[request.entry] = (
                self.last_target_by_entry[request.entry] + 1
            ) % n
            i = self.last_target_by_entry[request.entry]
            if self.ejected_until_s[i] <= self.now and f"t{i}" not in request.excluded:
                return i
        return None

    def _draw_link_delay_s(self, request: Request) -> float:
        same = self.zones[request.entry] == self.zones[request.target]
        way_ms = 0.5 if same else self.deployment.cross_ms
        is_slow_link = self.scenario.fault == "slow way" and self._is_faulty(
            request.target
        )
        if is_slow_link and self.zones[request.entry] == "z1":
            way_ms += 40
        return way_ms / 1000 * self.rng.uniform(1, 1.3)

    # At the exit.

    def _at_exit(self, request: Request) -> None:
        if request.done:
            return
        key = ExchangeKey("e", next(self.numbers))
        request.key = key
        request.way_s = self.now - request.tried_s
        self.requests[key] = request
        customer = "x" if self.policy != "heatherspur" else str(request.customer)
        left_ms = int((request.sent_s + TIMEOUT_S - self.now) * 1000)
        i = request.target
        arrival = Arrival(key, f"i{i}", 0.0, f"t{i}", customer, max(1, left_ms), True)
        # Numbers only have to increase at each exit, so all exits share one counter.
        self._handle_gate_messages(i, self.gates[i].arrive(arrival, None, self.now))

    def _handle_gate_messages(self, i: int, messages) -> None:
        for message in list(messages):
            request = self.requests.get(message.key)
            if request is None:
                continue
            if isinstance(message, Start):
                request.started_s = self.now
                service_s, failed = self._draw_service_time(request)
                self.schedule(
                    service_s, self._finish_service, request, message.key, failed
                )
            elif isinstance(message, Refuse):
                del self.requests[message.key]
                self.schedule(0.002, self._receive_refusal, request, i)

    def _is_faulty(self, i: int) -> bool:
        return i == 1 and self.now >= self.scenario.fault_at_s

    def _draw_service_time(self, request: Request) -> tuple[float, bool]:
        """Return the service time of a request in seconds, and whether it fails."""
        base_s = self.scenario.service_ms / 1000 * math.exp(self.rng.gauss(0, 0.35))
        fault, is_on = self.scenario.fault, self.now >= self.scenario.fault_at_s
        if fault == "expensive customer" and request.customer == 0 and is_on:
            base_s *= 8 if self.rng.random() < 0.3 else 1
        if fault == "all slow" and is_on:
            base_s *= 3
        if not self._is_faulty(request.target):
            return base_s, False
        return self._serve_at_faulty_target(fault, base_s)

    def _serve_at_faulty_target(self, fault: str, base_s: float) -> tuple[float, bool]:
        if fault == "slow":
            return base_s * 10, False
        if fault == "flapping":
            is_slow = int((self.now - self.scenario.fault_at_s) / 6) % 2 == 0
            return base_s * (10 if is_slow else 1), False
        if fault == "partial" and self.rng.random() < 0.3:
            return TIMEOUT_S + 1, True
        if fault == "hang":
            return TIMEOUT_S + 1, True
        if fault == "errors":
            return 0.002, True
        if fault == "truncating":
            return base_s, True
        if fault == "cold start":
            age_s = self.now - self.scenario.fault_at_s
            return base_s * (4 if age_s < 4 else 1), False
        return base_s, False

    def _finish_service(self, request: Request, key: ExchangeKey, failed: bool) -> None:
        if self.requests.pop(key, None) is None:
            return
        i = request.target
        service_ms = (self.now - request.started_s) * 1000
        self._record_service(i, service_ms, failed)
        self._handle_gate_messages(i, self.gates[i].finish(key, service_ms, self.now))
        self.schedule(
            self._draw_link_delay_s(request),
            self._receive_answer,
            request,
            failed,
            service_ms,
        )

    def _record_service(self, i: int, service_ms: float, failed: bool) -> None:
        if self.policy == "heatherspur":
            messages = self.ejectors[i].note(service_ms, failed, self.now)
            self._handle_ejector_messages(i, messages)
        elif self.policy == "consecutive errors":
            self.n_errors[i] = self.n_errors[i] + 1 if failed else 0
            n_ejected = sum(until > self.now for until in self.ejected_until_s)
            has_room = n_ejected < max_ejected(
                self.deployment.n_targets, self.deployment.floor
            )
            if self.n_errors[i] >= N_CONSECUTIVE_ERRORS and has_room:
                self.n_errors[i] = 0
                self.ejected_until_s[i] = self.now + BASE_EJECTION_S
                self._count_ejection(i)

    # Back at the entry.

    def _release(self, request: Request) -> None:
        if request.view is not None:
            request.view.n_open -= 1
            request.view = None

    def _receive_answer(
        self, request: Request, failed: bool, service_ms: float
    ) -> None:
        if request.done:
            return
        if request.view is not None:
            back_s = self.now - request.started_s - service_ms / 1000
            request.view.record_transit_ms((request.way_s + back_s) * 1000)
        self._release(request)
        if failed and self._may_retry(request):
            self._send(request)
            return
        self._finish(request, "failed" if failed else "answered")

    def _receive_refusal(self, request: Request, i: int) -> None:
        if request.done:
            return
        self._release(request)
        if self._may_retry(request):
            self._send(request)
        else:
            self._finish(request, "refused")

    def _may_retry(self, request: Request) -> bool:
        request.excluded |= {f"t{request.target}"}
        if self.policy != "heatherspur" or request.attempts >= ROUTING.max_attempts:
            return False
        return self.budgets[request.entry].try_spend(self.now)

    def _time_out(self, request: Request) -> None:
        if request.done:
            return
        self._release(request)
        key = request.key
        if key is not None and self.requests.pop(key, None) is not None:
            i = request.target
            if not self.gates[i].cancel(key):
                self._record_service(i, TIMEOUT_S * 1000, True)
                self._handle_gate_messages(i, self.gates[i].finish(key, None, self.now))
        self._finish(request, "failed")

    def _finish(self, request: Request, outcome: str) -> None:
        request.done = True
        self.budgets[request.entry].record_request()
        if not self._is_within_rate(request.customer):
            return
        self.n_refused += outcome == "refused"
        self.n_failed += outcome == "failed"
        latency_ms = (self.now - request.sent_s) * 1000
        self.latencies[request.customer].append(latency_ms)

    # Reports, ejection and permits.

    def _make_report(self, i: int) -> TargetReport:
        gate = self.gates[i].gates_by_target[f"t{i}"]
        mean, spread, bad_ratio = self.ejectors[i].detector.own_sample
        return TargetReport(
            f"t{i}",
            "s",
            self.deployment.slots,
            len(gate.running),
            gate.n_waiting,
            self.ejectors[i].state,
            mean,
            spread,
            bad_ratio,
            self.ejectors[i].detector.n_total,
        )

    def _report(self, first: bool = False) -> None:
        if self.policy != "heatherspur" and not first:
            return
        for i in range(self.deployment.n_targets):
            self._send_report(i)
        self.schedule(REPORT_S, self._report)

    def _send_report(self, i: int) -> None:
        report = self._make_report(i)
        for target_selector in self.target_selectors:
            self.schedule(
                0.005, target_selector.update_node, f"n{i}", self.zones[i], (report,)
            )

    def _tick(self) -> None:
        if self.policy != "heatherspur":
            return
        self.schedule(TICK_S, self._tick)
        for i in range(self.deployment.n_targets):
            self._handle_gate_messages(i, self.gates[i].tick(self.now))
            ejector = self.ejectors[i]
            ejector.update_peers(self._peer_samples(i))
            running = self.gates[i].gates_by_target[f"t{i}"].running.values()
            ages_ms = tuple((self.now - started_s) * 1000 for _, started_s in running)
            self._handle_ejector_messages(i, ejector.tick(ages_ms, self.now))

    def _peer_samples(self, i: int) -> list[PeerSample]:
        return [
            PeerSample(r.target, r.log_ms_mean, r.log_ms_spread, r.bad_ratio, r.n_total)
            for r in (v.report for v in self.target_selectors[i].views("s").values())
            if r.target != f"t{i}" and r.state in ("active", "suspected", "starting")
        ]

    def _handle_ejector_messages(self, i: int, messages) -> None:
        for message in list(messages):
            if isinstance(message, AskPermit):
                self.schedule(PERMIT_DELAY_S, self._ask_permit, i, message.round)
            elif isinstance(message, StateChanged):
                self.gates[i].set_probing(f"t{i}", message.new == "probing")
                if message.new == "ejected" and message.old == "suspected":
                    self._count_ejection(i)
                self._send_report(i)
                self._count_in_use()

    def _ask_permit(self, i: int, number: int) -> None:
        n_live, floor = self.deployment.n_targets, self.deployment.floor
        granted = self.permits.try_grant("s", f"t{i}", n_live, floor, self.now)
        self.schedule(PERMIT_DELAY_S, self._receive_permit_answer, i, number, granted)

    def _receive_permit_answer(self, i: int, number: int, granted: bool) -> None:
        self._handle_ejector_messages(
            i, self.ejectors[i].answer(number, granted, self.now)
        )

    def _count_ejection(self, i: int) -> None:
        if not self._is_faulty(i) or self.scenario.fault in NON_GRAY_FAULTS:
            self.n_false += 1
        elif self.first_ejection_s is None:
            self.first_ejection_s = self.now
        self._count_in_use()

    def _count_in_use(self) -> None:
        if self.policy == "heatherspur":
            n_ejected = sum(e.state in ("ejected", "probing") for e in self.ejectors)
        else:
            n_ejected = sum(until > self.now for until in self.ejected_until_s)
        self.least_in_use = min(
            self.least_in_use, self.deployment.n_targets - n_ejected
        )


NON_GRAY_FAULTS = (
    "none",
    "all slow",
    "cold start",
    "expensive customer",
    "slow way",
)
GRAY_FAULTS = ("slow", "errors", "truncating", "hang", "partial", "flapping")


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]
