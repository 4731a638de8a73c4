"""Settings and errors of the HTTP subpackage."""

from typing import NamedTuple

from heatherspur.core import HeatherspurError, Setting, count, seconds

__all__ = ["HTTP_SETTINGS", "FieldError", "HttpSettings"]


class HttpSettings(NamedTuple):
    """Limits on caller connections and request heads.

    :param max_head_bytes: Maximum size of request line and fields, in bytes.
    :param head_timeout_s: Time in which a caller must send a complete request head, in
        seconds.
    :param idle_timeout_s: Time after which an idle caller connection is closed, in
        seconds.
    :param max_callers: Maximum number of concurrent caller connections.
    """

    max_head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    max_callers: int


HTTP_SETTINGS: tuple[Setting, ...] = (
    count(
        "max_head_bytes",
        "16384",
        1024,
        65536,
        "Longest request line and fields from a caller, in bytes.",
    ),
    seconds(
        "head_timeout_s",
        "10",
        0.1,
        300,
        "Time that a caller has to send a whole request head.",
    ),
    seconds(
        "idle_timeout_s",
        "60",
        1,
        3600,
        "Time after which an idle caller connection is closed.",
    ),
    count("max_callers", "2000", 1, 60000, "Most caller connections at a time."),
)


class FieldError(HeatherspurError):
    """A request target or a request field is invalid.

    :param status: HTTP status code of the refusal.
    :param reason: Description of the error that is returned to the caller.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__("check request fields", "caller", reason)
        self.status = status
