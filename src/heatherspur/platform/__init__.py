"""Adapter to the outside platform: its log, its keyed store and its messages."""

from heatherspur.platform.client import LogClient
from heatherspur.platform.conf import PLATFORM_SETTINGS, LogError, PlatformSettings
from heatherspur.platform.hub import LogHub, append, log_answered, log_expired
from heatherspur.platform.keyed import (
    KeyedHub,
    put_records,
    records_read,
    records_written,
    store_changed,
)
from heatherspur.platform.protocol import KeyedRecord, LogAnswer, LogRecord

__all__ = [
    "PLATFORM_SETTINGS",
    "KeyedHub",
    "KeyedRecord",
    "LogAnswer",
    "LogClient",
    "LogError",
    "LogHub",
    "LogRecord",
    "PlatformSettings",
    "append",
    "log_answered",
    "log_expired",
    "put_records",
    "records_read",
    "records_written",
    "store_changed",
]
