"""Errors of the replay subpackage, whose only setting, ``trace``, is a node setting."""

from heatherspur.core import HeatherspurError

__all__ = ["TraceError"]


class TraceError(HeatherspurError):
    """A line of a trace is invalid.

    :param line: Number of the line, starting at 1.
    :param reason: Cause of the error.
    """

    def __init__(self, line: int, reason: str) -> None:
        super().__init__("replay trace", f"line {line}", reason)
