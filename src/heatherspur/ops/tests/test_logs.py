"""Logs that nobody reads for a while."""

import logging
import os
import time

import orjson
import pytest

from heatherspur.ops.log_output import LineQueue, OutputWriter
from heatherspur.ops.logs import DeferredHandler

MAX_QUEUED_BYTES = 20_000
ROUTINE = "entry: sent to target"
FAILURE = "entry: not run"


class _Formatter(logging.Formatter):
    def format(self, record):
        fields = {"message": record.getMessage(), "filler": "x" * 100}
        dropped = getattr(record, "n_dropped_by_kind", None)
        return orjson.dumps({**fields, "dropped": dropped}).decode()


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def _make_handler(write_end: int) -> DeferredHandler:
    handler = DeferredHandler(OutputWriter(write_end), MAX_QUEUED_BYTES)
    handler.setFormatter(_Formatter())
    return handler


def _log(handler: DeferredHandler, message: str, number: int) -> None:
    for _ in range(number):
        fields = {"msg": message, "levelno": logging.INFO}
        handler.emit(logging.makeLogRecord(fields))
    handler.write_all()


def _read(read_end: int) -> bytes:
    try:
        return os.read(read_end, 1 << 20)
    except BlockingIOError:
        return b""


def test_logging_does_not_wait_for_the_reader(pipe):
    """A pipe that nobody read stopped the event loop, and every request with it."""
    read_end, write_end = pipe
    handler = _make_handler(write_end)
    _log(handler, ROUTINE, 5000)
    _log(handler, FAILURE, 20)
    assert handler.n_dropped_by_kind[ROUTINE] > 0
    assert handler.n_dropped_by_kind[FAILURE] == 0
    data = b""
    while piece := _read(read_end):
        data += piece
        handler.write_all()
    messages = [orjson.loads(line) for line in data.splitlines()]
    kinds = [message["message"] for message in messages]
    assert kinds.count(FAILURE) == 20
    (report,) = [message for message in messages if message["dropped"]]
    assert report["dropped"] == dict(handler.n_dropped_by_kind)
    assert kinds.count(ROUTINE) + report["dropped"][ROUTINE] == 5000


def test_lines_of_failed_requests_are_dropped_last():
    queue = LineQueue(100)
    for i in range(20):
        queue.add("failure" if i % 2 else "routine", b"%09d\n" % i, bool(i % 2))
    assert queue.n_dropped_by_kind == {"routine": 10}
    assert queue.take(1000) == b"".join(b"%09d\n" % i for i in range(1, 20, 2))
    assert not len(queue)


def test_queue_keeps_the_order_of_lines():
    queue = LineQueue(1000)
    for i in range(10):
        queue.add("any", b"%d" % i, i % 3 == 0)
    assert queue.take(3) == b"012"
    assert queue.take(100) == b"3456789"


def test_last_lines_are_written_within_a_bound(pipe):
    read_end, write_end = pipe
    handler = _make_handler(write_end)
    _log(handler, FAILURE, 2000)
    start_s = time.monotonic()
    handler.finish(0.2)
    assert 0.1 < time.monotonic() - start_s < 2.0
    while _read(read_end):
        handler.finish(0.0)
    assert not handler._queue and not handler._chunk


def test_reader_that_is_gone_does_not_stop_the_process():
    read_end, write_end = os.pipe()
    handler = _make_handler(write_end)
    os.close(read_end)
    _log(handler, FAILURE, 500)
    handler.finish(0.2)
    os.close(write_end)
