"""Request scheduling of a node: slots, placement, rate limits and retries."""

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
