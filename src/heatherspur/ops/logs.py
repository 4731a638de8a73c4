"""Structured logs: one JSON object a line on standard error.

Each message is a short sentence that starts with the part it comes from.
"""

import atexit
import logging
import sys
from typing import TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

__all__ = ["DeferredHandler", "configure_logs", "write_deferred_logs"]

MAX_DEFERRED = 64
FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DeferredHandler(logging.StreamHandler):
    """Keeps records until :func:`write_deferred_logs`, or until there are many.

    Formatting takes longer than most steps of a request; it waits until the event
    loop has nothing else to do.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record; errors are written at once.

        :param record: The record.
        """
        self._records.append(record)
        if record.levelno >= logging.ERROR or len(self._records) >= MAX_DEFERRED:
            self.write_all()

    def write_all(self) -> None:
        """Write the records kept."""
        if not self._records:
            return
        records, self._records = self._records, []
        lines = (self.format(record) + self.terminator for record in records)
        self.stream.write("".join(lines))
        self.flush()


def write_deferred_logs() -> None:
    """Write what the program's log handlers have kept."""
    for handler in logging.getLogger("heatherspur").handlers:
        if isinstance(handler, DeferredHandler):
            handler.write_all()


def configure_logs(level: str, node: str) -> None:
    """Send the logs of the program to standard error.

    :param level: Least severe level that is logged.
    :param node: Node id, part of every line.
    """
    handler = DeferredHandler(sys.stderr)
    formatter = OrjsonFormatter(
        FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"node_id": node},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger("heatherspur")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False
    atexit.register(write_deferred_logs)
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
