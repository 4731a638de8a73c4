"""Observability of a node: structured logs, metrics and the operations listener."""

from heatherspur.ops.logs import (
    configure_logs,
    count_dropped_lines,
    write_deferred_logs,
)
from heatherspur.ops.loop import NodeLoop
from heatherspur.ops.metrics import NodeMetrics
from heatherspur.ops.web import OpsServer

__all__ = [
    "NodeLoop",
    "NodeMetrics",
    "OpsServer",
    "configure_logs",
    "count_dropped_lines",
    "write_deferred_logs",
]
