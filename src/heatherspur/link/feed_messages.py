"""Messages with which nodes forward records of the store to their neighbours."""

from typing import NamedTuple

__all__ = ["FeedRequest", "FeedHeartbeat", "FeedEndOffset", "FeedRecord", "FeedRecords"]


class FeedRecord(NamedTuple):
    """One record with a key.

    :param key: Key of the record.
    :param value: Value of the record; empty if the key was deleted.
    :param offset: Offset of the record.
    """

    key: str
    value: bytes
    offset: int


class FeedRecords(NamedTuple):
    """Newest records of a topic.

    :param topic: Name of the topic.
    :param since: Offset from which the records are complete; 0 if they are the newest
        records of all keys.
    :param next_offset: Offset up to which they cover the topic, exclusive.
    :param records: The records.
    """

    topic: str
    since: int
    next_offset: int
    records: tuple[FeedRecord, ...]


class FeedHeartbeat(NamedTuple):
    """Heartbeat of a node that forwards records to its neighbours.

    :param reads_store: Whether the node currently reads from the store.
    :param known_end: Highest end offset of the configuration's topic that the node has
        seen.
    """

    reads_store: bool
    known_end: int


class FeedEndOffset(NamedTuple):
    """Reports the end offset of the configuration's topic to readers of the store.

    :param next_offset: Offset after the last record.
    """

    next_offset: int


class FeedRequest(NamedTuple):
    """Requests records from a neighbour while the store is unreachable.

    :param topic: Name of the topic.
    :param since: Offset up to which the requesting node has the topic; 0 to request
        the whole topic.
    """

    topic: str
    since: int
