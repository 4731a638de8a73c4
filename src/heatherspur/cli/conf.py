"""Settings, errors and exit statuses of the operators' commands."""

from typing import NamedTuple

from heatherspur.core import (
    Address,
    HeatherspurError,
    Setting,
    address,
    addresses,
    seconds,
    text,
)

__all__ = [
    "EXIT_FAILED",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "OPERATOR_SETTINGS",
    "STATUS_SETTINGS",
    "CommandError",
    "OperatorSettings",
    "StatusSettings",
]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


class CommandError(HeatherspurError):
    """A command failed.

    :param step: Operation that failed.
    :param peer: Subject of the operation, such as an address or a file name.
    :param reason: Cause of the failure.
    :param status: Exit status of the program.
    """

    def __init__(
        self, step: str, peer: str, reason: str, status: int = EXIT_FAILED
    ) -> None:
        super().__init__(step, peer, reason)
        self.status = status


class OperatorSettings(NamedTuple):
    """Settings of the commands that change the catalogue.

    :param log: Address of the log service.
    :param log_stream: Name of the stream.
    :param log_timeout_s: Timeout of a call to the log, in seconds.
    :param operator: Name of the operator, stored with each change.
    :param confirm_s: Maximum time to wait until all nodes have applied a change, in
        seconds.
    """

    log: Address
    log_stream: str
    log_timeout_s: float
    operator: str
    confirm_s: float


class StatusSettings(NamedTuple):
    """Settings of the ``status`` command.

    :param nodes: Addresses of the operations listeners of the nodes to query.
    :param timeout_s: Timeout of a query, in seconds.
    """

    nodes: tuple[Address, ...]
    timeout_s: float


OPERATOR_SETTINGS: tuple[Setting, ...] = (
    address("log", None, "Address of the platform's log service."),
    text("log_stream", "heatherspur", "Name of the stream in the log."),
    seconds("log_timeout_s", "2", 0.1, 60, "Time after which a call has failed."),
    text("operator", "operator", "Name under which changes are made."),
    seconds("confirm_s", "4", 0, 60, "Longest wait for nodes to confirm a change."),
)

STATUS_SETTINGS: tuple[Setting, ...] = (
    addresses("nodes", None, "Operators' addresses of the nodes to ask."),
    seconds("timeout_s", "2", 0.1, 60, "Time after which a node has not answered."),
)
