"""Structured logs: one JSON object per line on standard error or output.

Each message is a short sentence that starts with the name of its component.
"""

import atexit
import logging
import sys
from typing import TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

__all__ = ["DeferredHandler", "configure_logs", "write_deferred_logs"]

MAX_BUFFERED_RECORDS = 64
# Lines above this limit are counted instead of written. Nodes in current deployments
# serve fewer than 10 requests per second, with about four lines each.
MAX_LINES_PER_SECOND = 300
FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DeferredHandler(logging.StreamHandler):
    """Handler that buffers records until :func:`write_deferred_logs`.

    Formatting takes longer than most steps of a request, so it is deferred until the
    event loop has no queued events. A full buffer is written immediately.

    :param stream: Stream to which the records are written.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record; an error is written immediately.

        :param record: The record.
        """
        self._records.append(record)
        if (
            record.levelno >= logging.ERROR
            or len(self._records) >= MAX_BUFFERED_RECORDS
        ):
            self.write_all()

    def write_all(self) -> None:
        """Write the buffered records."""
        if not self._records:
            return
        records, self._records = self._records, []
        lines = (self.format(record) + self.terminator for record in records)
        self.stream.write("".join(lines))
        self.flush()


class LineLimit(logging.Filter):
    """Filter that limits the lines per second and reports how many were dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._n_lines = 0
        self._n_dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written.

        :param record: The record.
        """
        second = int(record.created)
        if second != self._second:
            if self._n_dropped:
                record.n_dropped_before = self._n_dropped
            self._second, self._n_lines, self._n_dropped = second, 0, 0
        self._n_lines += 1
        if self._n_lines <= MAX_LINES_PER_SECOND:
            return True
        self._n_dropped += 1
        return False


def write_deferred_logs() -> None:
    """Write the records that the program's log handlers have buffered."""
    for handler in logging.getLogger("heatherspur").handlers:
        if isinstance(handler, DeferredHandler):
            handler.write_all()


def configure_logs(level: str, node: str, stream: TextIO | None = None) -> None:
    """Configure the logs of the program.

    :param level: Minimum level of the records that are logged.
    :param node: Node id, part of every line.
    :param stream: Stream to write to; standard error by default.
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
