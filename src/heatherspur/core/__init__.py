"""Clock, base error, hashing, state charts and settings, shared by all subpackages."""

from heatherspur.core.clock import now_s
from heatherspur.core.errors import HeatherspurError
from heatherspur.core.hashing import stable_hash
from heatherspur.core.settings import (
    Address,
    Setting,
    SettingsError,
    address,
    addresses,
    count,
    log_level,
    optional_address,
    parse_address,
    read_settings,
    seconds,
    text,
)
from heatherspur.core.statechart import load_chart

__all__ = [
    "Address",
    "HeatherspurError",
    "Setting",
    "SettingsError",
    "address",
    "addresses",
    "count",
    "load_chart",
    "log_level",
    "now_s",
    "optional_address",
    "parse_address",
    "read_settings",
    "seconds",
    "stable_hash",
    "text",
]
