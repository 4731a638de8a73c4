"""Errors of the replay subpackage; its one setting, ``trace``, is the node's."""

from heatherspur.core import HeatherspurError

__all__ = ["TraceError"]


class TraceError(HeatherspurError):
    """A line of a trace can't be used.

    :param line: Number of the line, from 1.
    :param reason: What is wrong with it.
    """

    def __init__(self, line: int, reason: str) -> None:
        super().__init__("replay trace", f"line {line}", reason)
