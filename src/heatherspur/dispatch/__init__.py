"""Decisions of a node on the users' platform: slots, placing, limits, repeats."""

from heatherspur.dispatch.types import (
    Customer,
    FleetSettings,
    Request,
    Route,
    RoutingTable,
    StoreSettings,
    TargetReport,
    WeightedService,
)

__all__ = [
    "Customer",
    "FleetSettings",
    "WeightedService",
    "Request",
    "Route",
    "RoutingTable",
    "StoreSettings",
    "TargetReport",
]
