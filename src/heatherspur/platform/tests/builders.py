"""Builders of test data for the platform's messages."""

import copy

import orjson

REPORT = {
    "address": "10.0.0.1:80",
    "born": 1700000000000,
    "info": {"service": "permits", "version": "v1", "zone": "a", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "cold": "0ms"},
}
MISSING = object()


def make_report(*path: str, value=MISSING) -> bytes:
    """Build a report, with one field changed or left out."""
    report = copy.deepcopy(REPORT)
    part = report
    for name in path[:-1]:
        part = part[name]
    if path and value is MISSING:
        del part[path[-1]]
    elif path:
        part[path[-1]] = value
    return orjson.dumps(report)
