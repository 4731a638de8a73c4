"""Settings and errors of the platform subpackage."""

from typing import NamedTuple

from heatherspur.core import Address, HeatherspurError, Setting, address, seconds, text

__all__ = ["PLATFORM_SETTINGS", "LogError", "PlatformSettings"]


class PlatformSettings(NamedTuple):
    """Address of the platform's log and the parameters of calls to it.

    :param log: Address of the log service.
    :param log_stream: Name of the stream.
    :param log_wait_s: Maximum wait of one long-poll read for new records, in seconds.
    :param log_timeout_s: Timeout of a read or an append, in seconds.
    :param snapshot_interval_s: Interval at which entries in force are written again,
        in seconds.
    """

    log: Address
    log_stream: str
    log_wait_s: float
    log_timeout_s: float
    snapshot_interval_s: float


PLATFORM_SETTINGS: tuple[Setting, ...] = (
    address("log", None, "Address of the platform's log service."),
    text("log_stream", "heatherspur", "Name of the stream in the log."),
    seconds("log_wait_s", "0.5", 0, 30, "Longest wait of one read for new records."),
    seconds(
        "log_timeout_s", "2", 0.1, 60, "Time after which a read or append has failed."
    ),
    seconds(
        "snapshot_interval_s",
        "600",
        1,
        86400,
        "Time after which entries in force are written again; keep it below a third "
        "of the log's retention.",
    ),
)


class LogError(HeatherspurError):
    """A call to the platform's log failed or returned an invalid response."""
