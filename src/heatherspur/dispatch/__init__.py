"""Request scheduling of a node: slots, placement, rate limits and retries."""

from heatherspur.dispatch.types import (
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_START_MS,
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
    "MAX_SEQUENCE",
    "MAX_SLOTS",
    "MAX_START_MS",
    "Customer",
    "FleetSettings",
    "WeightedService",
    "Request",
    "Route",
    "RoutingTable",
    "StoreSettings",
    "TargetReport",
]
