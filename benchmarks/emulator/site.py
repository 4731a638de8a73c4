"""Reads the description of a site: zones, services, customers, load and faults.

Sites are TOML files; ``benchmarks/sites/permits.toml`` shows every field.
"""

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from heatherspur.core import HeatherspurError

__all__ = [
    "Call",
    "RouteLoad",
    "Service",
    "SiteError",
    "SiteFile",
    "Trouble",
    "load_site",
]

TROUBLE_KINDS = ("burst", "large_customer", "slow", "gray")


class SiteError(HeatherspurError):
    """The description of a site is unreadable or invalid."""


class Service(NamedTuple):
    """Targets of one service.

    :param name: Name of the service.
    :param targets_a_zone: Number of targets in each availability zone.
    :param slots: Number of requests that a target runs concurrently.
    :param gray_share: Fraction of the time during which a target is gray.
    :param gray_s: Duration of a gray period, in seconds.
    :param gray_fails: Fraction of the requests that fail during a gray period.
    :param gray_hangs: Whether these requests hang; by default, they are reset.
    """

    name: str
    targets_a_zone: int
    slots: int
    gray_share: float = 0.0
    gray_s: float = 6.0
    gray_fails: float = 0.85
    gray_hangs: bool = False


class Call(NamedTuple):
    """A nested call that a target makes while it runs a request.

    :param route: Route of the call.
    :param times: Number of concurrent calls.
    :param share: Fraction of the requests that make this call.
    """

    route: str
    times: int
    share: float


class RouteLoad(NamedTuple):
    """Load of one route.

    :param name: Name of the route.
    :param service: Service that handles the requests.
    :param idempotent: Whether the requests are idempotent and may be retried.
    :param per_s: Requests of callers per second; 0 if only targets call the route.
    :param run_ms: Mean run time in milliseconds.
    :param spread: Standard deviation of the run time's logarithm.
    :param objective_ms: Latency objective; an answer within it earns its full value.
    :param timeout_ms: Timeout of a request.
    :param priority: Priority; 0 is the highest.
    :param value: Value of an answer within the objective.
    :param late_value: Value of an answer after the objective.
    :param calls: Nested calls that a request makes.
    """

    name: str
    service: str
    idempotent: bool
    per_s: float
    run_ms: float
    spread: float
    objective_ms: int
    timeout_ms: int
    priority: int = 1
    value: float = 1.0
    late_value: float = 0.1
    calls: tuple[Call, ...] = ()


class Trouble(NamedTuple):
    """A temporary fault or load change.

    :param kind: One of ``TROUBLE_KINDS``.
    :param at_s: Start, in seconds since the start of the run.
    :param for_s: Duration, in seconds.
    :param factor: Multiplier of the load or of the run time.
    :param share: Fraction of the targets that are affected.
    :param service: Affected service; empty for all.
    """

    kind: str
    at_s: float
    for_s: float
    factor: float = 1.0
    share: float = 1.0
    service: str = ""


class SiteFile(NamedTuple):
    """The complete description of a site.

    :param name: Name of the site.
    :param zones: Names of the availability zones.
    :param way_ms: One-way network delay between two zones, in milliseconds.
    :param near_way_ms: One-way network delay inside a zone, in milliseconds.
    :param seconds: Duration of a run, in seconds.
    :param customers: Relative weight of the load by customer.
    :param services: Services of the site.
    :param routes: Load by route.
    :param troubles: Faults and load changes during the run.
    """

    name: str
    zones: tuple[str, ...]
    way_ms: float
    near_way_ms: float
    seconds: float
    customers: dict[str, float]
    services: tuple[Service, ...]
    routes: tuple[RouteLoad, ...]
    troubles: tuple[Trouble, ...]


def load_site(path: str | Path) -> Result[SiteFile, SiteError]:
    """Read and check the description of a site.

    :param path: Path of the TOML file.
    :returns: The site, or an error that states the first problem found.
    """
    try:
        values = tomllib.loads(Path(path).read_text("utf-8"))
        site = _decode(values)
    except (OSError, tomllib.TOMLDecodeError, TypeError, KeyError) as error:
        return Err(SiteError("read the site", str(path), str(error)))
    problem = next(_find_problems(site), None)
    if problem is not None:
        return Err(SiteError("check the site", str(path), problem))
    return Ok(site)


def _decode(values: dict[str, Any]) -> SiteFile:
    routes = (
        {**route, "calls": tuple(Call(**call) for call in route.get("calls", ()))}
        for route in values["routes"]
    )
    return SiteFile(
        name=values["name"],
        zones=tuple(values["zones"]),
        way_ms=values["way_ms"],
        near_way_ms=values["near_way_ms"],
        seconds=values["seconds"],
        customers=values["customers"],
        services=tuple(Service(**service) for service in values["services"]),
        routes=tuple(RouteLoad(**route) for route in routes),
        troubles=tuple(Trouble(**trouble) for trouble in values.get("troubles", ())),
    )


def _find_problems(site: SiteFile):
    services = {service.name for service in site.services}
    routes = {route.name for route in site.routes}
    for route in site.routes:
        if route.service not in services:
            yield f"route {route.name!r} names the unknown service {route.service!r}"
        for call in route.calls:
            if call.route not in routes:
                yield f"route {route.name!r} calls the unknown route {call.route!r}"
    for trouble in site.troubles:
        if trouble.kind not in TROUBLE_KINDS:
            yield f"unknown kind of trouble: {trouble.kind!r}"
        if trouble.service and trouble.service not in services:
            yield f"trouble names the unknown service {trouble.service!r}"
    if not site.zones or not site.customers:
        yield "a site needs zones and customers"
