"""Decodes the platform's settings, configuration and target reports.

The names of the wire are used in this module and in ``headers.py`` and ``store.py``
only. Whatever can't be read is an error with its step and peer; nothing here
decides what follows from it.
"""

import re
from typing import Any

import orjson
from result import Err, Ok, Result

from heatherspur.core import Address, HeatherspurError, parse_address
from heatherspur.dispatch import (
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
DEFAULT_PRIORITY = 3
DEFAULT_TIMEOUT = "10s"
DEFAULT_HEARTBEAT = "1500ms"


class WireError(HeatherspurError):
    """A message of the platform can't be read."""


def duration_s(value: Any) -> float:
    """Return the seconds that a text such as ``1500ms`` or ``2.5s`` stands for.

    :param value: The text.
    :raises ValueError: If it is no duration.
    """
    match = DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is no duration")
    number = float(match.group(1))
    return number / 1000 if match.group(2) == "ms" else number


def _bounds(texts: list[str]) -> dict[str, str]:
    return dict(text.split("=", 1) for text in texts)


def decode_settings(data: bytes, peer: str) -> Result[FleetSettings, WireError]:
    """Decode the settings file.

    :param data: Its content, JSON.
    :param peer: Its path, for the error.
    """
    try:
        fields = orjson.loads(data)
        bounds = _bounds(fields["bounds"])
        listen = fields["listen"]
        return Ok(
            FleetSettings(
                node=fields["node"],
                zone=fields["zone"],
                # "outbound" is where requests come in from the host's own programs.
                callers=parse_address(listen["outbound"]),
                links=parse_address(listen["inbound"]),
                control=parse_address(listen["control"]),
                readiness=parse_address(listen["readiness"]),
                target=parse_address(fields["app_addr"]),
                service=fields["service"],
                store=StoreSettings(parse_address(fields["provider"]["address"])),
                report_gap_s=duration_s(fields.get("heartbeat") or DEFAULT_HEARTBEAT),
                grace_s=duration_s(bounds["grace"]),
                retry_ratio=float(bounds["retry_budget_ratio"]),
                retry_window_s=duration_s(bounds["budget_window"]),
                retry_slack=float(bounds["budget_slack"]),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode settings", peer, reason))


def _version(text: Any) -> int:
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is no version")
    return int(text[1:])


def _parts(fields: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = fields.get("traffic_split")
    if split:
        return tuple(
            WeightedService(part["service"], float(part["weight"])) for part in split
        )
    return (WeightedService(fields["service"], 1.0),)


def _route(fields: dict[str, Any]) -> Route:
    timeout_s = duration_s(fields.get("timeout") or DEFAULT_TIMEOUT)
    objective = fields.get("target_latency")
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["path_prefix"],
        weighted_services=_parts(fields),
        # Any word but "safe" is taken as the stricter kind.
        idempotent=fields["route_type"] == "safe",
        timeout_s=timeout_s,
        objective_s=duration_s(objective) if objective else timeout_s,
        max_targets=int(fields.get("attempts") or DEFAULT_ATTEMPTS),
        priority=int(fields.get("priority", DEFAULT_PRIORITY)),
        open=bool(fields.get("public", False)),
    )


def _customers(tenants: list[dict[str, Any]]) -> dict[str, Customer]:
    customers_by_key = {}
    for tenant in tenants:
        priority = tenant.get("priority")
        customer = Customer(
            name=tenant["name"],
            priority=int(priority) if priority is not None else None,
            rate=float(tenant.get("rate_per_s") or 0),
            burst=float(tenant.get("burst") or 0),
        )
        for key in tenant["api_keys"]:
            customers_by_key[key] = customer
    return customers_by_key


def decode_table(data: bytes, peer: str) -> Result[RoutingTable, WireError]:
    """Decode a configuration.

    :param data: JSON.
    :param peer: Where it came from, for the error.
    """
    try:
        fields = orjson.loads(data)
        routes_by_host: dict[str, list[Route]] = {}
        for item in fields["routes"]:
            route = _route(item)
            routes_by_host.setdefault(route.host, []).append(route)
        limits = fields["limits"]
        tenants = fields.get("tenants")
        return Ok(
            RoutingTable(
                version=_version(fields["version"]),
                routes_by_host={
                    host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
                    for host, routes in routes_by_host.items()
                },
                customers_by_key=None if tenants is None else _customers(tenants),
                max_head_bytes=int(limits["max_header_bytes"]),
                max_body_bytes=int(limits["max_body_bytes"]),
                head_timeout_s=duration_s(limits["header_timeout"]),
                idle_timeout_s=duration_s(limits["idle_timeout"]),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode configuration", peer, reason))


def _address(value: Any) -> Address | None:
    return parse_address(value) if value else None


def _whole(value: Any, least: int = 0) -> int:
    """Return a whole number; a text, a fraction or a truth value is none."""
    if type(value) is not int or value < least:
        raise ValueError(f"{value!r} is no whole number from {least} on")
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def decode_target_report(
    target: str, data: bytes, gone: bool, peer: str
) -> Result[TargetReport, WireError]:
    """Decode a target's report, a heartbeat or its last word.

    :param target: Id from the path of the call.
    :param data: JSON; a last word may be empty.
    :param gone: Whether the target takes itself out of the fleet.
    :param peer: Who sent it, for the error.
    """
    try:
        fields = orjson.loads(data) if data else {}
        if not isinstance(fields, dict):
            raise ValueError("body is no object")
        info, status = fields.get("info") or {}, fields.get("status") or {}
        if not gone and status["state"] not in ("ready", "draining"):
            raise ValueError(f"state {status['state']!r} is not known")
        return Ok(
            TargetReport(
                target=target,
                started_at_ms=_whole(fields.get("born", 0)),
                sequence=_whole(
                    status.get("sequence", 0) if gone else status["sequence"]
                ),
                address=_address(fields.get("address")),
                service=info.get("service", "") if gone else _name(info["service"]),
                slots=0 if gone else _whole(info["slots"], least=1),
                ready=not gone and status["state"] == "ready",
                cold_s=duration_s(status.get("cold") or "0ms"),
                gone=gone,
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        return Err(WireError("decode target report", peer, reason))
