"""Bounded queue of log lines, and their output to a reader that may be slow or absent.

Load pattern: nobody reads the output of a process for minutes, while it logs each
request. Its event loop must not wait, so lines that exceed the queue are dropped and
counted, those about the regular steps of requests first.
"""

import contextlib
import itertools
import os
import select
import stat
from collections import Counter, deque
from typing import NamedTuple

__all__ = ["LineQueue", "OutputWriter"]


class _Line(NamedTuple):
    serial: int
    kind: str
    data: bytes


class LineQueue:
    """Lines that are not written yet.

    :param max_bytes: Maximum size of all lines, in bytes.
    :ivar n_dropped_by_kind: Number of dropped lines by kind, never reset.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._serials = itertools.count()
        self._routine: deque[_Line] = deque()
        self._essential: deque[_Line] = deque()
        self._n_bytes = 0
        self.n_dropped_by_kind: Counter[str] = Counter()

    @property
    def is_half_empty(self) -> bool:
        """Whether the lines take at most half of the room."""
        return 2 * self._n_bytes <= self._max_bytes

    def __len__(self) -> int:
        return len(self._routine) + len(self._essential)

    def add(self, kind: str, data: bytes, is_essential: bool) -> None:
        """Append a line; if there is no room, drop the oldest routine lines.

        :param kind: Kind of the line, for the count of dropped ones.
        :param data: The line.
        :param is_essential: Whether it is dropped only if no routine line is left.
        """
        lines = self._essential if is_essential else self._routine
        lines.append(_Line(next(self._serials), kind, data))
        self._n_bytes += len(data)
        while self._n_bytes > self._max_bytes:
            dropped = (self._routine or self._essential).popleft()
            self._n_bytes -= len(dropped.data)
            self.n_dropped_by_kind[dropped.kind] += 1

    def take(self, max_bytes: int) -> bytes:
        """Remove the oldest lines and return them.

        :param max_bytes: Size up to which lines are joined; the first one may exceed
            it.
        """
        taken: list[bytes] = []
        n_bytes = 0
        while len(self):
            lines = self._next_lines()
            n_bytes += len(lines[0].data)
            if taken and n_bytes > max_bytes:
                break
            taken.append(lines.popleft().data)
        data = b"".join(taken)
        self._n_bytes -= len(data)
        return data

    def _next_lines(self) -> deque[_Line]:
        """Return the queue that contains the oldest line."""
        if not self._routine or not self._essential:
            return self._routine or self._essential
        return min(self._routine, self._essential, key=lambda lines: lines[0].serial)


class OutputWriter:
    """Writes to a file descriptor without blocking.

    Pipes and sockets are set to non-blocking mode. Regular files never block, and the
    mode of a terminal belongs to the shell.

    :param descriptor: The file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            with contextlib.suppress(OSError):
                os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write as many bytes as possible now.

        :param data: The bytes.
        :returns: Number of bytes written; 0 if the reader has to read first.
        :raises OSError: If the reader is gone.
        """
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0

    def wait(self, timeout_s: float) -> bool:
        """Wait until bytes can be written.

        :param timeout_s: Maximum time in seconds.
        :returns: Whether they can.
        """
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(timeout_s * 1000))
