"""Messages by which nodes pass the store's records on."""

from typing import NamedTuple

__all__ = ["FeedRequest", "FeedHeartbeat", "FeedEndOffset", "FeedRecord", "FeedRecords"]


class FeedRecord(NamedTuple):
    """One record with a key.

    :param key: Its key.
    :param value: Its value; empty where the key was dropped.
    :param offset: Its offset.
    """

    key: str
    value: bytes
    offset: int


class FeedRecords(NamedTuple):
    """Newest records of a topic.

    :param topic: Name of the topic.
    :param since: Offset from which on they are complete; 0 if they are the newest
        records of all keys.
    :param next_offset: Offset up to which the topic is known with them.
    :param records: The records.
    """

    topic: str
    since: int
    next_offset: int
    records: tuple[FeedRecord, ...]


class FeedHeartbeat(NamedTuple):
    """Sign of life of a node that feeds its neighbours.

    :param reads_store: Whether it gets answers from the store.
    :param known_end: How far the configuration's topic goes, as far as it knows.
    """

    reads_store: bool
    known_end: int


class FeedEndOffset(NamedTuple):
    """Tells readers of the store how far the configuration's topic goes.

    :param next_offset: Offset after the last record.
    """

    next_offset: int


class FeedRequest(NamedTuple):
    """Asks a neighbour for records, since the store gives none.

    :param topic: Name of the topic.
    :param since: Offset up to which it is known; 0 for all of it.
    """

    topic: str
    since: int
