"""The assumed protocol of the platform's log: HTTP with JSON bodies.

``POST /streams/NAME/records`` appends the body as one record and answers
``{"offset": N}``. ``GET /streams/NAME/records?from=N&wait_ms=M`` answers
``{"oldest": N, "head": N, "records": [{"offset": N, "value": "..."}]}``, or status
410 with ``{"oldest": N}`` where the record N has expired.
"""

import json
from typing import NamedTuple

from result import Err, Ok, Result

from heatherspur.platform.conf import LogError

__all__ = [
    "LogAnswer",
    "LogRecord",
    "append_path",
    "parse_append",
    "parse_oldest",
    "parse_read",
    "read_path",
]

STATUS_OK = 200
STATUS_GONE = 410


class LogRecord(NamedTuple):
    """One record of the log.

    :param offset: Its offset.
    :param value: Its text.
    """

    offset: int
    value: str


class LogAnswer(NamedTuple):
    """Answer to one read.

    :param oldest: Offset of the oldest record kept.
    :param head: Offset that the next record will get.
    :param records: Consecutive records from the offset asked for.
    """

    oldest: int
    head: int
    records: tuple[LogRecord, ...]


def append_path(stream: str) -> str:
    """Return the request target of an append."""
    return f"/streams/{stream}/records"


def read_path(stream: str, offset: int, wait_s: float) -> str:
    """Return the request target of a read."""
    return f"/streams/{stream}/records?from={offset}&wait_ms={int(wait_s * 1000)}"


def parse_append(body: bytes, peer: str) -> Result[int, LogError]:
    """Parse the answer to an append.

    :param body: Response body.
    :param peer: Address of the log.
    :returns: Offset of the new record.
    """
    try:
        offset = json.loads(body)["offset"]
    except (ValueError, KeyError, TypeError):
        return Err(LogError("append", peer, "answer is not understood"))
    return Ok(offset)


def parse_oldest(body: bytes, peer: str) -> Result[int, LogError]:
    """Parse the answer that says that a record has expired.

    :param body: Response body.
    :param peer: Address of the log.
    :returns: Offset of the oldest record kept.
    """
    try:
        return Ok(int(json.loads(body)["oldest"]))
    except (ValueError, KeyError, TypeError):
        return Err(LogError("read", peer, "answer is not understood"))


def parse_read(body: bytes, peer: str) -> Result[LogAnswer, LogError]:
    """Parse the answer to a read.

    :param body: Response body.
    :param peer: Address of the log.
    :returns: The answer.
    """
    try:
        answer = json.loads(body)
        records = tuple(LogRecord(r["offset"], r["value"]) for r in answer["records"])
        return Ok(LogAnswer(answer["oldest"], answer["head"], records))
    except (ValueError, KeyError, TypeError):
        return Err(LogError("read", peer, "answer is not understood"))
