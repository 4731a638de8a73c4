"""Structured logs: one JSON object per line on standard error or output.

Each message is a short sentence that starts with the name of its component.
"""

import atexit
import logging
import sys
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import TextIO

from pythonjsonlogger.orjson import OrjsonFormatter

from heatherspur.core import now_s
from heatherspur.ops.log_output import LineQueue, OutputWriter

__all__ = [
    "DeferredHandler",
    "configure_logs",
    "count_dropped_lines",
    "write_deferred_logs",
]

MAX_BUFFERED_RECORDS = 64
# About 1,000 lines.
MAX_QUEUED_BYTES = 262_144
MAX_WRITE_BYTES = 65_536
# Time to write the last lines at the end of the process.
FINISH_TIMEOUT_S = 0.5
# Steps that every request takes; the first lines to be dropped. All others explain a
# failure or a change of state.
ROUTINE_MESSAGES = frozenset(
    {
        "entry: sent to target",
        "entry: answered",
        "exit: handed over",
        "exit: answered",
    }
)
DROPPED_MESSAGE = "logs: lines dropped, since nobody read them"
LINE_END = "\n"
# Lines above this limit are counted instead of written. Nodes in current deployments
# serve fewer than 10 requests per second, with about four lines each.
MAX_LINES_PER_SECOND = 300
FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DeferredHandler(logging.Handler):
    """Handler that buffers records until :func:`write_deferred_logs`.

    Formatting takes longer than most steps of a request, so it is deferred until the
    event loop has no queued events. A full buffer is formatted immediately. Lines that
    the reader of the output doesn't take wait in a bounded queue.

    :param writer: Output to which the lines are written.
    :param max_queued_bytes: Maximum size of the lines that wait, in bytes.
    """

    def __init__(
        self, writer: OutputWriter, max_queued_bytes: int = MAX_QUEUED_BYTES
    ) -> None:
        super().__init__()
        self._writer = writer
        self._records: list[logging.LogRecord] = []
        self._queue = LineQueue(max_queued_bytes)
        self._chunk = memoryview(b"")
        self._n_reported_by_kind: Counter[str] = Counter()

    @property
    def n_dropped_by_kind(self) -> Mapping[str, int]:
        """Number of lines that were dropped since the start, by their message."""
        return self._queue.n_dropped_by_kind

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
        """Write the buffered records, as far as the reader takes them."""
        records, self._records = self._records, []
        for record in records:
            self._enqueue(record)
        if not self._chunk and not len(self._queue):
            return
        try:
            self._write_queued()
        except OSError:
            # Nobody will read the lines, and there is no other place for them.
            self._chunk = memoryview(b"")
            self._queue.take(MAX_QUEUED_BYTES)

    def _enqueue(self, record: logging.LogRecord) -> None:
        line = (self.format(record) + LINE_END).encode("utf-8", "replace")
        kind = record.getMessage()
        self._queue.add(kind, line, kind not in ROUTINE_MESSAGES)

    def _write_queued(self) -> None:
        while self._chunk or len(self._queue):
            if not self._chunk:
                self._chunk = memoryview(self._queue.take(MAX_WRITE_BYTES))
            n_written = self._writer.write(self._chunk)
            if not n_written:
                return
            self._chunk = self._chunk[n_written:]
            self._report_dropped()

    def _report_dropped(self) -> None:
        """Name in one line what was dropped until the reader took lines again."""
        dropped = self._queue.n_dropped_by_kind - self._n_reported_by_kind
        if not dropped or not self._queue.is_half_empty:
            return
        self._n_reported_by_kind = self._queue.n_dropped_by_kind.copy()
        fields = {"msg": DROPPED_MESSAGE, "levelno": logging.WARNING}
        fields |= {"levelname": "WARNING", "n_dropped_by_kind": dict(dropped)}
        self._enqueue(logging.makeLogRecord(fields))

    def finish(self, timeout_s: float) -> None:
        """Write everything that the reader takes within a time.

        :param timeout_s: Maximum time in seconds.
        """
        deadline_s = now_s() + timeout_s
        self.write_all()
        while self._chunk or len(self._queue):
            left_s = deadline_s - now_s()
            if left_s <= 0 or not self._writer.wait(left_s):
                return
            self.write_all()


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


def _deferred_handlers() -> Iterator[DeferredHandler]:
    for handler in logging.getLogger("heatherspur").handlers:
        if isinstance(handler, DeferredHandler):
            yield handler


def write_deferred_logs() -> None:
    """Write the records that the program's log handlers have buffered."""
    for handler in _deferred_handlers():
        handler.write_all()


def count_dropped_lines() -> Counter[str]:
    """Return how many log lines were dropped since the start, by their message."""
    return sum(
        (Counter(handler.n_dropped_by_kind) for handler in _deferred_handlers()),
        Counter(),
    )


def _finish_logs() -> None:
    for handler in _deferred_handlers():
        handler.finish(FINISH_TIMEOUT_S)


def configure_logs(level: str, node: str, stream: TextIO | None = None) -> None:
    """Configure the logs of the program.

    :param level: Minimum level of the records that are logged.
    :param node: Node id, part of every line.
    :param stream: Stream to write to; standard error by default.
    """
    handler = DeferredHandler(OutputWriter((stream or sys.stderr).fileno()))
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
    atexit.register(_finish_logs)
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
