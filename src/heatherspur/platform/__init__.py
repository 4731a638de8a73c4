"""The platform's append-only log, behind one narrow interface."""

from heatherspur.platform.client import LogClient
from heatherspur.platform.conf import PLATFORM_SETTINGS, LogError, PlatformSettings
from heatherspur.platform.hub import LogHub, append, log_answered, log_expired
from heatherspur.platform.protocol import LogAnswer, LogRecord

__all__ = [
    "PLATFORM_SETTINGS",
    "LogAnswer",
    "LogClient",
    "LogError",
    "LogHub",
    "LogRecord",
    "PlatformSettings",
    "append",
    "log_answered",
    "log_expired",
]
