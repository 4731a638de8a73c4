"""Catalogue entries for services and customers, and validation of their fields."""

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from heatherspur.catalogue.conf import EntryError

__all__ = [
    "OPEN_CUSTOMER_PREFIX",
    "SERVICE_CLASSES",
    "CustomerEntry",
    "Entry",
    "Route",
    "ServiceEntry",
    "entry_fields",
    "parse_entry",
]

ID_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
SERVICE_CLASSES = ("steady", "swift")
# Callers without a key are accounted to a customer named by this prefix and the
# service id.
OPEN_CUSTOMER_PREFIX = "open:"
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_RATE_PER_S = 1_000_000
MAX_TIMEOUT_MS = 600_000
MAX_BODY_BYTES = 1 << 30


class Route(NamedTuple):
    """A path prefix that a service serves.

    :param prefix: Path prefix; matches whole segments.
    :param open: Whether requests without a key are accepted.
    :param idempotent_methods: Methods whose requests may be retried on this route.
    """

    prefix: str
    open: bool
    idempotent_methods: tuple[str, ...]


class ServiceEntry(NamedTuple):
    """Catalogue entry of a service.

    :param id: Service id.
    :param owner: Person or team responsible for the service.
    :param service_class: Ejection profile: ``steady`` (slow to eject, few false
        ejections) or ``swift`` (quick to eject).
    :param routes: Routes of the service.
    :param timeout_ms: Maximum duration of a complete exchange, in milliseconds.
    :param max_body_bytes: Maximum size of a request body, in bytes.
    :param floor: Minimum fraction of the live targets that stays in use, 0 to 1.
    :param max_queue: Maximum number of requests queued at one target.
    :param open_rate: Rate limit of requests without a key, per second over all nodes.
    :param open_burst: Burst limit of requests without a key, over all nodes.
    """

    id: str
    owner: str
    service_class: str
    routes: tuple[Route, ...]
    timeout_ms: int
    max_body_bytes: int
    floor: float
    max_queue: int
    open_rate: float
    open_burst: int


class CustomerEntry(NamedTuple):
    """Catalogue entry of a customer.

    :param id: Customer id.
    :param owner: Person or team responsible for the customer.
    :param rate: Rate limit, in requests per second over all nodes.
    :param burst: Burst limit, in requests over all nodes.
    """

    id: str
    owner: str
    rate: float
    burst: int


Entry = ServiceEntry | CustomerEntry


class Check(NamedTuple):
    """Validation rule of one field.

    :param default: Default value, or ``None`` if the field is required.
    :param accepts: Returns whether a value is valid.
    :param expects: Description of the valid values, for error messages.
    """

    default: Any
    accepts: Callable[[Any], bool]
    expects: str


def _is_number(value: Any, low: float, high: float) -> bool:
    if type(value) not in (int, float) or not math.isfinite(value):
        return False
    return low <= value <= high


def _number(default: Any, low: float, high: float) -> Check:
    expects = f"a number from {low} to {high}"
    return Check(default, lambda value: _is_number(value, low, high), expects)


def _integer(default: Any, low: int, high: int) -> Check:
    expects = f"a whole number from {low} to {high}"

    def accepts(value: Any) -> bool:
        return type(value) is int and low <= value <= high

    return Check(default, accepts, expects)


def _is_id(value: Any) -> bool:
    return isinstance(value, str) and ID_PATTERN.fullmatch(value) is not None


def _is_path_prefix(value: Any) -> bool:
    return isinstance(value, str) and value.startswith("/") and "?" not in value


def _is_method_list(value: Any) -> bool:
    if not isinstance(value, list | tuple):
        return False
    return all(isinstance(m, str) and METHOD_PATTERN.fullmatch(m) for m in value)


def _is_non_empty_list(value: Any) -> bool:
    return isinstance(value, list | tuple) and len(value) > 0


ID_CHECK = Check(None, _is_id, "1 to 63 small letters, digits and hyphens")
OWNER_CHECK = Check(
    None, lambda v: isinstance(v, str) and 0 < len(v) <= 200, "a text up to 200 long"
)

SERVICE_CHECKS: dict[str, Check] = {
    "id": ID_CHECK,
    "owner": OWNER_CHECK,
    "service_class": Check(
        "steady", SERVICE_CLASSES.__contains__, " or ".join(SERVICE_CLASSES)
    ),
    "routes": Check(None, _is_non_empty_list, "at least one route"),
    "timeout_ms": _integer(10_000, 10, MAX_TIMEOUT_MS),
    "max_body_bytes": _integer(1 << 20, 0, MAX_BODY_BYTES),
    "floor": _number(0.5, 0, 1),
    "max_queue": _integer(64, 0, 10_000),
    "open_rate": _number(20, 0, MAX_RATE_PER_S),
    "open_burst": _integer(20, 0, MAX_RATE_PER_S),
}
ROUTE_CHECKS: dict[str, Check] = {
    "prefix": Check(None, _is_path_prefix, "a path that starts with /"),
    "open": Check(False, lambda value: type(value) is bool, "true or false"),
    "idempotent_methods": Check(
        list(SAFE_METHODS), _is_method_list, "a list of methods"
    ),
}
CUSTOMER_CHECKS: dict[str, Check] = {
    "id": ID_CHECK,
    "owner": OWNER_CHECK,
    "rate": _number(None, 0, MAX_RATE_PER_S),
    "burst": _integer(None, 1, MAX_RATE_PER_S),
}


def _invalid_fields(
    fields: Mapping[str, Any], checks: Mapping[str, Check]
) -> Iterator[str]:
    for name in fields:
        if name not in checks:
            yield f"field {name!r} is not known"
    for name, check in checks.items():
        value = fields.get(name, check.default)
        if value is None:
            yield f"field {name!r} is missing: expected {check.expects}"
        elif not check.accepts(value):
            yield f"field {name!r} is {value!r}: expected {check.expects}"


def _with_defaults(
    fields: Mapping[str, Any], checks: Mapping[str, Check]
) -> dict[str, Any]:
    return {name: fields.get(name, check.default) for name, check in checks.items()}


def parse_entry(kind: str, fields: Any) -> Result[Entry, EntryError]:
    """Validate the fields of an entry and apply the defaults.

    :param kind: ``"service"`` or ``"customer"``.
    :param fields: Fields of the entry, as read from a file or a record.
    :returns: The entry, or an error that lists every invalid field.
    """
    if not isinstance(fields, Mapping):
        return Err(EntryError(kind, "expected a table of fields"))
    name = str(fields.get("id", kind))
    if kind == "service":
        return _parse_service(name, fields)
    if kind != "customer":
        return Err(EntryError(name, f"kind {kind!r} is neither service nor customer"))
    problems = list(_invalid_fields(fields, CUSTOMER_CHECKS))
    if problems:
        return Err(EntryError(name, "; ".join(problems)))
    return Ok(CustomerEntry(**_with_defaults(fields, CUSTOMER_CHECKS)))


def _parse_service(name: str, fields: Mapping[str, Any]) -> Result:
    problems = list(_invalid_fields(fields, SERVICE_CHECKS))
    if problems:
        return Err(EntryError(name, "; ".join(problems)))
    values = _with_defaults(fields, SERVICE_CHECKS)
    for route in values["routes"]:
        if not isinstance(route, Mapping):
            return Err(EntryError(name, "a route is not a table of fields"))
        problems += _invalid_fields(route, ROUTE_CHECKS)
    if problems:
        return Err(EntryError(name, "; ".join(problems)))
    values["routes"] = tuple(_route(route) for route in values["routes"])
    return Ok(ServiceEntry(**values))


def _route(fields: Mapping[str, Any]) -> Route:
    values = _with_defaults(fields, ROUTE_CHECKS)
    prefix = values["prefix"].rstrip("/") or "/"
    return Route(prefix, values["open"], tuple(values["idempotent_methods"]))


def entry_fields(entry: Entry) -> dict[str, Any]:
    """Return the fields of an entry in the form that :func:`parse_entry` accepts.

    :param entry: The entry.
    """
    fields = entry._asdict()
    if isinstance(entry, ServiceEntry):
        fields["routes"] = [
            {**route._asdict(), "idempotent_methods": list(route.idempotent_methods)}
            for route in entry.routes
        ]
    return fields
