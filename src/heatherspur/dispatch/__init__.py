"""Decisions of a node on the users' platform: slots, placing, limits, repeats."""

from heatherspur.dispatch.types import (
    Customer,
    FleetSettings,
    Part,
    Request,
    Route,
    RoutingTable,
    StoreLimits,
    TargetReport,
)

__all__ = [
    "Customer",
    "FleetSettings",
    "Part",
    "Request",
    "Route",
    "RoutingTable",
    "StoreLimits",
    "TargetReport",
]
