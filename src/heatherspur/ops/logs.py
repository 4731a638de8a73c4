"""Structured logs: one JSON object a line on standard error or output.

Each message is a short sentence that starts with the part it comes from.
"""

import atexit
import logging
import sys
from typing import TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

__all__ = ["DeferredHandler", "configure_logs", "write_deferred_logs"]

MAX_DEFERRED = 64
# A node of today's deployments serves below 10 requests a second with some four
# lines each; above this, lines are counted instead of written.
MAX_LINES_A_SECOND = 300
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


class LineLimit(logging.Filter):
    """Bounds the number of lines a second and tells how many were dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._n_lines = 0
        self._n_dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a record is written.

        :param record: The record.
        """
        second = int(record.created)
        if second != self._second:
            if self._n_dropped:
                record.n_dropped_before = self._n_dropped
            self._second, self._n_lines, self._n_dropped = second, 0, 0
        self._n_lines += 1
        if self._n_lines <= MAX_LINES_A_SECOND:
            return True
        self._n_dropped += 1
        return False


def write_deferred_logs() -> None:
    """Write what the program's log handlers have kept."""
    for handler in logging.getLogger("heatherspur").handlers:
        if isinstance(handler, DeferredHandler):
            handler.write_all()


def configure_logs(level: str, node: str, stream: TextIO | None = None) -> None:
    """Send the logs of the program to a stream.

    :param level: Least severe level that is logged.
    :param node: Node id, part of every line.
    :param stream: Where to; standard error if not given.
    """
    handler = DeferredHandler(stream or sys.stderr)
    handler.addFilter(LineLimit())
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
