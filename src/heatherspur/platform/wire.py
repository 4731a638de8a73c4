"""Decodes the platform's settings, configuration and target reports.

The platform's names on the wire are used only in this module, in ``headers.py`` and in
``protocol.py``. Malformed input is returned as an error with its step and peer; the
caller decides how to handle it.
"""

import logging
import math
import re
from typing import Any, NamedTuple

import orjson
from result import Err, Ok, Result

from heatherspur.core import Address, HeatherspurError, parse_address
from heatherspur.dispatch import (
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_START_MS,
    Customer,
    FleetSettings,
    Route,
    RoutingTable,
    StoreSettings,
    TargetReport,
    WeightedService,
)

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "HEARTBEAT_PATH",
    "LEAVE_PATH",
    "SETTINGS_VARIABLE",
    "WireError",
    "decode_target_report",
    "decode_settings",
    "decode_table",
    "duration_s",
]

SETTINGS_VARIABLE = "HEATHERSPUR_NODE_FILE"
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
HEARTBEAT_PATH = re.compile(r"^/instances/([^/]+)/heartbeat$")
LEAVE_PATH = re.compile(r"^/instances/([^/]+)/deregister$")
DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
DEFAULT_ATTEMPTS = 1
MAX_ATTEMPTS = 1000
DEFAULT_PRIORITY = 3
DEFAULT_TIMEOUT = "10s"
DEFAULT_HEARTBEAT = "1500ms"
DEFAULT_QUOTA_WINDOW = "5s"
DEFAULT_MEMORY_MB = 300
BYTES_PER_MB = 1_000_000
# Longer durations can't be told from errors of their writer.
MAX_DURATION_S = 366 * 86400.0

# Errors that fields which are missing, of another type or out of range can raise.
INVALID = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

logger = logging.getLogger("heatherspur.wire")


class RouteKind(NamedTuple):
    """What a value of ``route_type`` allows.

    :param idempotent: Whether a request may run more than once.
    """

    idempotent: bool


ROUTE_KINDS_BY_NAME = {
    "safe": RouteKind(idempotent=True),
    "unsafe": RouteKind(idempotent=False),
    # A safe request with a large response.
    "download": RouteKind(idempotent=True),
}
# Running a request twice does harm; running it once does not.
UNKNOWN_ROUTE_KIND = RouteKind(idempotent=False)


class WireError(HeatherspurError):
    """A message of the platform is malformed."""


def duration_s(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` and return it in seconds.

    :param value: The text.
    :raises ValueError: If the value is not a duration.
    """
    match = DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is not a duration in ms or s")
    number = float(match.group(1))
    seconds = number / 1000 if match.group(2) == "ms" else number
    if not seconds <= MAX_DURATION_S:
        raise ValueError(f"{value:.40} is longer than {MAX_DURATION_S:.0f} s")
    return seconds


def _parse_bounds(entries: list[str]) -> dict[str, str]:
    return dict(text.split("=", 1) for text in entries)


def _decode_memory(fields: dict[str, Any]) -> int:
    """Return the memory limit of the process, in bytes."""
    limits = fields.get("limits") or {}
    memory_mb = limits.get("memory_mb") or DEFAULT_MEMORY_MB
    return int(_finite(memory_mb) * BYTES_PER_MB)


def decode_settings(data: bytes, peer: str) -> Result[FleetSettings, WireError]:
    """Decode the settings file.

    :param data: Content of the file, JSON.
    :param peer: Path of the file, for the error.
    """
    try:
        fields = orjson.loads(data)
        bounds = _parse_bounds(fields["bounds"])
        listen = fields["listen"]
        return Ok(
            FleetSettings(
                node=fields["node"],
                zone=fields["zone"],
                # "outbound" is the listener for requests from programs on this host.
                callers=parse_address(listen["outbound"]),
                links=parse_address(listen["inbound"]),
                control=parse_address(listen["control"]),
                readiness=parse_address(listen["readiness"]),
                target=parse_address(fields["app_addr"]),
                service=fields["service"],
                store=StoreSettings(parse_address(fields["provider"]["address"])),
                report_gap_s=duration_s(fields.get("heartbeat") or DEFAULT_HEARTBEAT),
                memory_bytes=_decode_memory(fields),
                grace_s=duration_s(bounds["grace"]),
                retry_ratio=float(bounds["retry_budget_ratio"]),
                retry_window_s=duration_s(bounds["budget_window"]),
                retry_slack=float(bounds["budget_slack"]),
                quota_window_s=duration_s(
                    bounds.get("quota_window") or DEFAULT_QUOTA_WINDOW
                ),
            )
        )
    except INVALID as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode settings", peer, reason))


def _parse_version(text: Any) -> int:
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version such as 'r1'")
    return int(text[1:])


def _decode_weighted_services(fields: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = fields.get("traffic_split")
    if split:
        return tuple(
            WeightedService(_non_empty_text(part["service"]), _finite(part["weight"]))
            for part in split
        )
    return (WeightedService(_non_empty_text(fields["service"]), 1.0),)


def _decode_route_kind(fields: dict[str, Any]) -> RouteKind:
    name = fields["route_type"]
    kind = ROUTE_KINDS_BY_NAME.get(name) if isinstance(name, str) else None
    if kind is None:
        extra = {"route": fields["name"], "kind": str(name)}
        logger.warning("wire: unknown route kind runs once only", extra=extra)
        return UNKNOWN_ROUTE_KIND
    return kind


def _decode_route(fields: dict[str, Any]) -> Route:
    timeout_s = duration_s(fields.get("timeout") or DEFAULT_TIMEOUT)
    objective = fields.get("target_latency")
    return Route(
        name=_non_empty_text(fields["name"]),
        host=fields["host"].lower(),
        prefix=_non_empty_text(fields["path_prefix"]),
        weighted_services=_decode_weighted_services(fields),
        idempotent=_decode_route_kind(fields).idempotent,
        timeout_s=timeout_s,
        objective_s=duration_s(objective) if objective else timeout_s,
        max_targets=_integer(
            int(fields.get("attempts") or DEFAULT_ATTEMPTS), MAX_ATTEMPTS
        ),
        priority=int(fields.get("priority", DEFAULT_PRIORITY)),
        open=bool(fields.get("public", False)),
    )


def _decode_customers(tenants: list[dict[str, Any]]) -> dict[str, Customer]:
    customers_by_key = {}
    for tenant in tenants:
        priority = tenant.get("priority")
        customer = Customer(
            name=_non_empty_text(tenant["name"]),
            priority=int(priority) if priority is not None else None,
            rate=_finite(tenant.get("rate_per_s") or 0),
            burst=_finite(tenant.get("burst") or 0),
        )
        for key in tenant["api_keys"]:
            customers_by_key[key] = customer
    return customers_by_key


def decode_table(data: bytes, peer: str) -> Result[RoutingTable, WireError]:
    """Decode a configuration into a routing table.

    Routes of each host are ordered by the length of their path prefix, longest first.

    :param data: JSON.
    :param peer: Source of the data, for the error.
    """
    try:
        fields = orjson.loads(data)
        routes_by_host: dict[str, list[Route]] = {}
        for item in fields["routes"]:
            route = _decode_route(item)
            routes_by_host.setdefault(route.host, []).append(route)
        limits = fields["limits"]
        tenants = fields.get("tenants")
        return Ok(
            RoutingTable(
                version=_parse_version(fields["version"]),
                routes_by_host={
                    host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
                    for host, routes in routes_by_host.items()
                },
                customers_by_key=None
                if tenants is None
                else _decode_customers(tenants),
                max_head_bytes=int(limits["max_header_bytes"]),
                max_body_bytes=int(limits["max_body_bytes"]),
                head_timeout_s=duration_s(limits["header_timeout"]),
                idle_timeout_s=duration_s(limits["idle_timeout"]),
            )
        )
    except INVALID as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode configuration", peer, reason))


def _optional_address(value: Any) -> Address | None:
    if not value:
        return None
    address = parse_address(value)
    if not address.port:
        raise ValueError(f"{value!r:.40} has no port")
    return address


def _integer(value: Any, maximum: int, minimum: int = 0) -> int:
    """Return the value if it is an integer; strings, floats and booleans are invalid.

    :raises ValueError: If the value is not an integer from the minimum to the maximum.
    """
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"{value!r:.40} is not an integer {minimum}..{maximum}")
    return value


def _finite(value: Any) -> float:
    """Return a number that is neither negative nor infinite.

    :raises ValueError: If the value is another number or text.
    """
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r:.40} is not a number >= 0")
    return number


def _non_empty_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _check_heartbeat(fields: dict, info: dict, status: dict) -> None:
    """Check the fields of a heartbeat that are required but not used.

    :raises KeyError: If a field is missing.
    :raises ValueError: If a field is invalid.
    """
    if status["state"] not in ("ready", "draining"):
        raise ValueError(f"state {status['state']!r:.40} is not ready or draining")
    for value in (fields["address"], info["zone"], info["version"]):
        _non_empty_text(value)


def decode_target_report(
    target: str, data: bytes, gone: bool, peer: str
) -> Result[TargetReport, WireError]:
    """Decode a target's report: a heartbeat or its deregistration.

    :param target: Id from the path of the call.
    :param data: JSON; may be empty for a deregistration.
    :param gone: Whether the target deregisters.
    :param peer: Address of the sender, for the error.
    """
    try:
        fields = orjson.loads(data) if data else {}
        if not isinstance(fields, dict):
            raise ValueError("body is not a JSON object")
        info, status = fields.get("info") or {}, fields.get("status") or {}
        if not gone:
            _check_heartbeat(fields, info, status)
        return Ok(
            TargetReport(
                target=target,
                started_at_ms=_integer(fields.get("born", 0), MAX_START_MS),
                sequence=_integer(
                    status.get("sequence", 0) if gone else status["sequence"],
                    MAX_SEQUENCE,
                ),
                address=_optional_address(fields.get("address")),
                service="" if gone else _non_empty_text(info["service"]),
                slots=0 if gone else _integer(info["slots"], MAX_SLOTS, minimum=1),
                ready=not gone and status["state"] == "ready",
                cold_s=duration_s(status.get("cold") or "0ms"),
                gone=gone,
            )
        )
    except INVALID as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode target report", peer, reason))
