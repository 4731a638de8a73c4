"""Factories for test data of the dispatch package."""

import random

from heatherspur.core import Address
from heatherspur.dispatch import (
    Customer,
    FleetSettings,
    Request,
    Route,
    StoreSettings,
    TargetReport,
    WeightedService,
)
from heatherspur.dispatch.budget import RetryBudget
from heatherspur.dispatch.dispatcher import Dispatcher
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.dispatch.queue import TargetQueue
from heatherspur.dispatch.scheduling import (
    Reservation,
    ReservationKey,
    SchedulingPolicy,
)

HERE = "10.0.0.1:80"


def make_route(**changes) -> Route:
    route = Route(
        name="route",
        host="a.example",
        prefix="/a/",
        weighted_services=(WeightedService("permits", 1.0),),
        idempotent=True,
        timeout_s=3.0,
        objective_s=1.0,
        max_targets=2,
        priority=1,
        open=False,
    )
    return route._replace(**changes)


def make_request(exchange: int = 1, now: float = 0.0, **changes) -> Request:
    route = changes.pop("route", make_route())
    request = Request(
        exchange=exchange,
        attempt_id=f"{exchange:016x}".encode(),
        method="GET",
        target="/a/1",
        fields=(),
        body=b"",
        route=route,
        service="permits",
        customer="inn",
        priority=1,
        opened_at_s=now,
        deadline_s=now + 6.0,
    )
    return request._replace(**changes)


def make_settings(**changes) -> FleetSettings:
    anywhere = Address("10.0.0.1", 80)
    settings = FleetSettings(
        node="host-1",
        zone="a",
        callers=anywhere,
        links=anywhere,
        control=anywhere,
        readiness=anywhere,
        target=anywhere,
        service="permits",
        store=StoreSettings(anywhere),
        report_gap_s=1.5,
        memory_bytes=300_000_000,
        grace_s=6.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=64.0,
        quota_window_s=5.0,
    )
    return settings._replace(**changes)


def make_member(number: int, zone: str = "a", service: str = "permits") -> Member:
    node = f"10.0.0.{number}:80"
    return Member(node, zone, service, f"t{number}", 0, 3, True)


def make_fleet(*members: Member) -> FleetView:
    fleet = FleetView(HERE, "a")
    for i, member in enumerate(members):
        fleet.put(f"host-{i}", member)
    return fleet


def make_dispatcher(*members: Member) -> Dispatcher:
    return Dispatcher(make_fleet(*members), make_settings(), random.Random(1))


def make_queue(slots: int = 1, order: SchedulingPolicy | None = None) -> TargetQueue:
    queue = TargetQueue(5, RetryBudget(0.2, 10.0, 64.0, 0.0), order)
    queue.slots = slots
    queue.accepting = True
    return queue


def make_waiting(number: int, **changes) -> Reservation:
    waiting = Reservation(
        key=ReservationKey(1, number),
        priority=1,
        objective_at_s=1.0,
        deadline_s=3.0,
        may_probe=True,
        is_nested=False,
        weight=1.0,
        is_retry=False,
        route=7,
        customer=1,
    )
    return waiting._replace(**changes)


def make_customer(name: str = "inn", rate: float = 10, burst: float = 5) -> Customer:
    return Customer(name, None, rate, burst)


def make_target_report(sequence: int = 1, **changes) -> TargetReport:
    report = TargetReport("t1", 1000, sequence, None, "permits", 3, True, 0.0, False)
    return report._replace(**changes)
