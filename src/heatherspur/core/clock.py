"""The monotonic clock used throughout the program."""

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return seconds since boot, including the time that the host was suspended.

    Leases are measured with this clock because it never steps and, unlike
    ``time.monotonic``, continues while the host is suspended.

    :returns: Seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
