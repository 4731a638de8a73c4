"""Settings and errors of the platform subpackage."""

from typing import NamedTuple

from heatherspur.core import Address, HeatherspurError, Setting, address, seconds, text

__all__ = ["PLATFORM_SETTINGS", "LogError", "PlatformSettings"]


class PlatformSettings(NamedTuple):
    """Where the platform's log is and how it is read.

    :param log: Address of the log service.
    :param log_stream: Name of the stream.
    :param log_wait_s: Longest time that one read waits for new records.
    :param log_timeout_s: Time after which a read or an append has failed.
    :param snapshot_interval_s: Time after which entries in force are written again.
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
    """The platform's log gave no usable answer."""
