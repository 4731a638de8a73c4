"""The one clock that the program reads."""

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return seconds since boot, including time that the machine was suspended.

    Leases are measured with this clock: it never steps, and unlike
    ``time.monotonic`` it goes on while the machine sleeps.

    :returns: Seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
