"""Description of a site: hosts, zones, services, customers, load and troubles.

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
    """A description of a site can't be used."""


class Service(NamedTuple):
    """Targets of one service.

    :param name: Name of the service.
    :param targets_a_zone: Targets in each availability zone.
    :param slots: Requests that a target runs at a time.
    :param gray_share: Part of the time in which a target is gray.
    :param gray_s: Length of a gray spell, in seconds.
    :param gray_fails: Part of the requests that fail in a gray spell.
    """

    name: str
    targets_a_zone: int
    slots: int
    gray_share: float = 0.0
    gray_s: float = 6.0
    gray_fails: float = 0.85


class Call(NamedTuple):
    """A call that a target makes while it runs a request.

    :param route: Route of the call.
    :param times: Calls at a time.
    :param share: Part of the requests that make it.
    """

    route: str
    times: int
    share: float


class RouteLoad(NamedTuple):
    """Requests of one route.

    :param name: Name of the route.
    :param service: Service that runs them.
    :param idempotent: Whether they may run again.
    :param per_s: Requests a second of callers; 0 for calls of targets.
    :param run_ms: Mean run time in milliseconds.
    :param spread: Standard deviation of the run time's logarithm.
    :param objective_ms: Time within which an answer has its full value.
    :param timeout_ms: Time after which the final answer is due.
    :param priority: Rank; 0 goes first.
    :param value: Value of an answer in time.
    :param late_value: Value of a later one.
    :param calls: Calls that a run makes.
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
    """Something that goes wrong for a while.

    :param kind: One of ``TROUBLE_KINDS``.
    :param at_s: When it begins, in seconds.
    :param for_s: How long it lasts, in seconds.
    :param factor: How many times as much or as slow.
    :param share: Part of the targets that it meets.
    :param service: Service that it meets; empty for all.
    """

    kind: str
    at_s: float
    for_s: float
    factor: float = 1.0
    share: float = 1.0
    service: str = ""


class SiteFile(NamedTuple):
    """A whole site.

    :param name: Its name.
    :param zones: Names of the availability zones.
    :param way_ms: One way between two zones, in milliseconds.
    :param near_way_ms: One way inside a zone, in milliseconds.
    :param seconds: Length of a run.
    :param customers: Part of the load by customer.
    :param services: Services.
    :param routes: Load by route.
    :param troubles: What goes wrong.
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
    """Read the description of a site.

    :param path: Path of the TOML file.
    :returns: The site, or an error that names what is wrong.
    """
    try:
        values = tomllib.loads(Path(path).read_text("utf-8"))
        site = _decode(values)
    except (OSError, tomllib.TOMLDecodeError, TypeError, KeyError) as error:
        return Err(SiteError("read the site", str(path), str(error)))
    problem = next(_problems(site), None)
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


def _problems(site: SiteFile):
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
