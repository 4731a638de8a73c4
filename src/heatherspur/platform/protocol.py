"""Encodes calls to the platform's store, a log with topics and partitions.

A topic whose name begins with ``keyed.`` holds records with a key; the store retains
the newest record of each key indefinitely. Only partition 0 of each topic is used.
"""

import base64
import struct
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import urlencode

import orjson
from result import Err, Ok, Result

from heatherspur.platform.conf import LogError

__all__ = [
    "KeyedRecord",
    "LogAnswer",
    "LogRecord",
    "NewestAnswer",
    "append_path",
    "decode_keyed",
    "encode_keyed",
    "encode_record",
    "newest_path",
    "parse_append",
    "parse_newest",
    "parse_oldest",
    "parse_read",
    "parse_text_read",
    "read_path",
]

STATUS_OK = 200
STATUS_GONE = 410
PARTITION = 0
LENGTH_PREFIX = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


class LogRecord(NamedTuple):
    """One record of the log.

    :param offset: Offset of the record.
    :param value: Content of the record; text in the project's own streams.
    """

    offset: int
    value: bytes | str


class LogAnswer(NamedTuple):
    """Response to one read.

    :param oldest: Offset of the oldest retained record.
    :param head: Offset that is assigned to the next record.
    :param records: Consecutive records from the requested offset.
    """

    oldest: int
    head: int
    records: tuple[LogRecord, ...]


class KeyedRecord(NamedTuple):
    """One record with a key.

    :param key: Key of the record.
    :param value: Value of the record; empty if the key was deleted.
    :param offset: Offset of the record; 0 if it is not written yet.
    """

    key: str
    value: bytes
    offset: int = 0


class NewestAnswer(NamedTuple):
    """One page of the newest records of all keys.

    :param records: The records, ordered by key.
    :param after: Key after which the next page starts; empty on the last page.
    :param next_offset: Offset after the last of the records. It is computed from them,
        because the end that the store reports may include a record not on the page.
    """

    records: tuple[KeyedRecord, ...]
    after: str
    next_offset: int


def append_path(topic: str) -> str:
    """Return the request target of an append."""
    return "/log-append?" + urlencode({"topic": topic, "part": PARTITION})


def read_path(topic: str, offset: int, wait_s: float) -> str:
    """Return the request target of a read."""
    query = {
        "topic": topic,
        "part": PARTITION,
        "from": offset,
        "wait_ms": int(wait_s * 1000),
    }
    return "/log-read?" + urlencode(query)


def newest_path(topic: str, after: str) -> str:
    """Return the request target of a page with the newest record of each key."""
    query = {"topic": topic, "part": PARTITION}
    if after:
        query["after"] = after
    return "/log-newest?" + urlencode(query)


def encode_record(value: bytes) -> bytes:
    """Return the encoding of a record in the body of an append.

    :param value: Content of the record.
    """
    return LENGTH_PREFIX.pack(len(value)) + value


def encode_keyed(record: KeyedRecord) -> bytes:
    """Return the content of a record with a key.

    :param record: The record.
    """
    key = record.key.encode()
    return bytes([len(key)]) + key + record.value


def decode_keyed(record: LogRecord, peer: str) -> Result[KeyedRecord, LogError]:
    """Decode the content of a record with a key.

    :param record: The record.
    :param peer: Address of the store, for the error.
    :returns: The decoded record, or a :class:`LogError` if its key is invalid.
    """
    value = record.value
    length = value[0] if value else 0
    key, rest = value[1 : 1 + length], value[1 + length :]
    try:
        if not length or len(key) != length:
            raise ValueError("key is empty or truncated")
        return Ok(KeyedRecord(key.decode(), rest, record.offset))
    except ValueError as error:
        return Err(LogError("decode record", peer, str(error)))


def parse_append(body: bytes, peer: str) -> Result[int, LogError]:
    """Parse the response to an append.

    :param body: Response body.
    :param peer: Address of the store, for the error.
    :returns: Offset of the new record.
    """
    try:
        return Ok(int(orjson.loads(body)["offset"]))
    except (ValueError, KeyError, TypeError):
        return Err(LogError("append", peer, "response has no valid offset"))


def parse_oldest(body: bytes, peer: str) -> Result[int, LogError]:
    """Parse the response to a read of an expired record.

    :param body: Response body.
    :param peer: Address of the store, for the error.
    :returns: Offset of the oldest retained record.
    """
    try:
        return Ok(int(orjson.loads(body)["first"]))
    except (ValueError, KeyError, TypeError):
        return Err(LogError("read", peer, "response has no valid first offset"))


def _iter_records(body: bytes, offset: int) -> Iterator[LogRecord]:
    position = READ_HEADER.size
    while position < len(body):
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        position += LENGTH_PREFIX.size
        if position + length > len(body):
            raise ValueError("record is truncated")
        yield LogRecord(offset, body[position : position + length])
        position += length
        offset += 1


def parse_read(body: bytes, offset: int, peer: str) -> Result[LogAnswer, LogError]:
    """Parse the response to a read.

    :param body: Response body.
    :param offset: Requested offset.
    :param peer: Address of the store, for the error.
    :returns: The decoded response, or a :class:`LogError` if it is truncated.
    """
    try:
        head, oldest = READ_HEADER.unpack_from(body)
        return Ok(LogAnswer(oldest, head, tuple(_iter_records(body, offset))))
    except (ValueError, struct.error):
        return Err(LogError("read", peer, "response is truncated"))


def parse_text_read(body: bytes, offset: int, peer: str) -> Result[LogAnswer, LogError]:
    """Parse the response to a read of a stream of text records.

    Invalid UTF-8 is replaced rather than refused. Readers skip the resulting record as
    malformed and continue with the next offset.

    :param body: Response body.
    :param offset: Requested offset.
    :param peer: Address of the store, for the error.
    """
    return parse_read(body, offset, peer).map(
        lambda answer: answer._replace(
            records=tuple(
                LogRecord(offset, value.decode("utf-8", "replace"))
                for offset, value in answer.records
            )
        )
    )


def parse_newest(body: bytes, peer: str) -> Result[NewestAnswer, LogError]:
    """Parse a page of the newest records of all keys.

    :param body: Response body.
    :param peer: Address of the store, for the error.
    """
    try:
        answer = orjson.loads(body)
        records = tuple(
            KeyedRecord(
                item["key"], base64.b64decode(item["value"]), int(item["offset"])
            )
            for item in answer["items"]
        )
        after = records[-1].key if answer["has_more"] else ""
        last = max((record.offset for record in records), default=-1)
        return Ok(NewestAnswer(records, after, last + 1))
    except (ValueError, KeyError, TypeError, IndexError):
        return Err(LogError("read newest", peer, "response is malformed"))
