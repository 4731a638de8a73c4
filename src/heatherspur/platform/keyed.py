"""Follows keyed topics of the platform's store and writes records to them.

Each topic is read over its own connection by long polling; all writes share one
connection. A node starts from the newest record of each key and continues with the
records that follow.
"""

import logging
import random

from circuits import Event, handler

from heatherspur.core import Address, now_s
from heatherspur.net import Keepalive
from heatherspur.platform.calls import TIMED_OUT, StoreCall, StoreChannel, StoreHub
from heatherspur.platform.protocol import (
    STATUS_GONE,
    STATUS_OK,
    KeyedRecord,
    append_path,
    decode_keyed,
    encode_keyed,
    encode_record,
    newest_path,
    parse_newest,
    parse_oldest,
    parse_read,
    read_path,
)

__all__ = [
    "KeyedHub",
    "put_records",
    "records_read",
    "records_written",
    "store_changed",
]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
# Wait of a long poll. The store allows 30 s, but a response can be lost on a connection
# that stays open, which only the timeout detects. With the shorter wait of a fleet with
# few readers, the margin stays below the bound for configurations, 2 s.
READ_WAIT_S = 3.0
READ_TIMEOUT_MARGIN_S = 0.75
# Each consecutive timeout doubles the margin up to this value, to allow for a slow
# store.
MAX_READ_TIMEOUT_MARGIN_S = 4.0
# The first reads after a start or an outage have a short wait: a long poll that the
# store accepts while a record is being written may not return when the write completes.
FIRST_READ_WAIT_S = 0.5
# After a longer interruption, only the newest configuration is read: a series of large,
# superseded configurations takes seconds on a slow link.
REREAD_NEWEST_AFTER_S = READ_WAIT_S + READ_TIMEOUT_MARGIN_S
# Delay before the next read after records arrive, so that records in quick succession
# are read as one batch. Changes of the first topic must take effect within 2 s. The
# other topics change most when many nodes start, and use a longer delay.
FIRST_TOPIC_BATCH_DELAY_S = 0.25
OTHER_TOPIC_BATCH_DELAY_S = 1.0
# The maximum lets nodes reconnect within 2 s after an outage, which users of the store
# rely on. The backoff limits refused calls, because the platform charges for them too.
MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.6
STORE_KEEPALIVE = Keepalive(idle_s=1, interval_s=1, n_probes=2, unacked_ms=2000)

logger = logging.getLogger("heatherspur.store")


class records_read(Event):  # noqa: N801 - circuits names events in lower case
    """Records of a topic were read.

    :param topic: Name of the topic.
    :param records: The records, oldest first; ordered by key if ``is_whole``.
    :param next_offset: Offset up to which the topic has been read, exclusive.
    :param is_whole: Whether these are the newest records of all keys, so that a key
        that is missing no longer exists.
    """


class store_changed(Event):  # noqa: N801
    """The store became reachable or unreachable.

    :param reachable: Whether the store responds.
    """


class put_records(Event):  # noqa: N801
    """Write records in one call, with retries until the store confirms them.

    A later record of the same key replaces one that is not written yet.

    :param topic: Name of the topic.
    :param records: The records.
    """


class records_written(Event):  # noqa: N801
    """The store confirmed records, which it retains from now on.

    :param topic: Name of the topic.
    :param records: The records.
    """


class _Topic(StoreChannel):
    """Connection and read position of one followed topic.

    :param name: Name of the topic.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.offset: int | None = None
        self.wait_s = FIRST_READ_WAIT_S
        self.after = ""
        self.next_offset = 0
        self.oldest = 0
        self.page_records: tuple[KeyedRecord, ...] = ()
        self.was_read = False
        # Clock reading when the topic was last known to be up to date, in seconds.
        self.caught_up_at_s = 0.0
        self.n_timeouts = 0

    @property
    def timeout_margin_s(self) -> float:
        """Time that a response may take in addition to the wait, in seconds."""
        return min(
            MAX_READ_TIMEOUT_MARGIN_S, READ_TIMEOUT_MARGIN_S * 2**self.n_timeouts
        )


class KeyedHub(StoreHub):
    """Follows topics and writes records for one node.

    :param address: Address of the store.
    :param topics: Names of the topics to follow; reads of the first determine whether
        the store is reachable.
    :ivar max_wait_s: Wait of a long poll for the first topic, in seconds.
    """

    keepalive = STORE_KEEPALIVE

    def __init__(self, address: Address, topics: tuple[str, ...]) -> None:
        super().__init__("store", address, CONNECT_TIMEOUT_S)
        self._topics = [_Topic(name) for name in topics]
        self._writer = StoreChannel()
        self._pending_writes: dict[tuple[str, str], KeyedRecord] = {}
        self._rng = random.Random()
        self.reachable = False
        self.max_wait_s = READ_WAIT_S
        self._paused = False

    @property
    def idle(self) -> bool:
        """Whether the store has confirmed every record."""
        return not self._pending_writes

    @property
    def reads_store_directly(self) -> bool:
        """Whether the newest records come directly from the store."""
        return self.reachable and not self._paused

    @property
    def has_read_topics(self) -> bool:
        """Whether the store itself has provided all records of every topic once."""
        return all(topic.was_read for topic in self._topics)

    def pause(self, paused: bool) -> None:
        """Pause reading while a neighbour forwards the records, or resume it.

        :param paused: Whether to pause.
        """
        if paused == self._paused:
            return
        self._paused = paused
        for topic in self._topics:
            topic.wait_s = FIRST_READ_WAIT_S
            topic.caught_up_at_s = now_s()
            self._cancel_call(topic)

    def advance(self, name: str, next_offset: int) -> None:
        """Advance the read position past records that a neighbour forwarded.

        The first read of a topic continues all the same, since the neighbour may lack
        the newest records.

        :param name: Name of the topic.
        :param next_offset: Offset of the next record to read.
        """
        topic = next(topic for topic in self._topics if topic.name == name)
        if not topic.was_read:
            return
        if topic.offset is None:
            self._cancel_call(topic)
        topic.offset = max(topic.offset or 0, next_offset)
        topic.caught_up_at_s = now_s()

    def refresh(self, name: str) -> None:
        """Restart the read of a topic, unless a short call is in progress.

        The new read uses a new connection. A call is short if it is not a long poll.

        :param name: Name of the topic.
        """
        topic = next(topic for topic in self._topics if topic.name == name)
        if topic.call is not None and not topic.call.waits_long:
            return
        topic.wait_s = FIRST_READ_WAIT_S
        topic.next_try_at_s = 0.0
        self._cancel_call(topic)

    def _cancel_call(self, topic: _Topic) -> None:
        """Cancel the call in progress without counting it as a failure."""
        stream, topic.stream, topic.call = topic.stream, None, None
        topic.after, topic.page_records = "", ()
        if stream is not None and not stream.closed:
            stream.abort()

    @handler("put_records")
    def _on_put_records(self, topic, records):
        for record in records:
            self._pending_writes[topic, record.key] = record
        self._start_write(now_s())

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_overdue_calls((*self._topics, self._writer), now)
        for i, topic in enumerate(self._topics):
            is_due = topic.is_free(now) and (i == 0 or self.reachable)
            if is_due and not self._paused:
                self._start_read(topic, now)
        if self.reachable or self._paused:
            self._start_write(now)

    def _start_read(self, topic: _Topic, now: float) -> None:
        is_first = topic is self._topics[0]
        if is_first and now - topic.caught_up_at_s > REREAD_NEWEST_AFTER_S:
            topic.offset = None
        if topic.offset is None:
            path = newest_path(topic.name, topic.after)
            timeout_s = max(CALL_TIMEOUT_S, topic.timeout_margin_s)
            call = StoreCall("newest", "GET", path, b"", now, timeout_s, topic.after)
        else:
            wait_s = min(topic.wait_s, self.max_wait_s if is_first else READ_WAIT_S)
            path = read_path(topic.name, topic.offset, wait_s)
            timeout_s = wait_s + topic.timeout_margin_s
            waits_long = wait_s > FIRST_READ_WAIT_S
            topic.wait_s = min(READ_WAIT_S, topic.wait_s * 2)
            call = StoreCall(
                "read", "GET", path, b"", now, timeout_s, topic.offset, waits_long
            )
        self.send(topic, call)

    def _start_write(self, now: float) -> None:
        if not self._writer.is_free(now) or not self._pending_writes:
            return
        topic, _ = next(iter(self._pending_writes))
        records = tuple(
            record
            for (name, _), record in self._pending_writes.items()
            if name == topic
        )
        body = b"".join(encode_record(encode_keyed(record)) for record in records)
        path = append_path(topic)
        context = (topic, records)
        self.send(
            self._writer,
            StoreCall("append", "POST", path, body, now, CALL_TIMEOUT_S, context),
        )

    def retry_delay_s(self, channel: StoreChannel) -> float:
        """Return the backoff before the next call after a failure, in seconds."""
        delay_s = MIN_RETRY_DELAY_S * 2 ** min(channel.n_failures - 1, 5)
        return min(MAX_RETRY_DELAY_S, delay_s) * (0.75 + self._rng.random() / 2)

    def on_failure(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Update the timeouts, and the reachability if the first topic failed."""
        if isinstance(channel, _Topic):
            channel.wait_s = FIRST_READ_WAIT_S
            channel.n_timeouts += reason == TIMED_OUT
        extra = {"call": call.kind, "reason": reason}
        if channel is self._topics[0] and self.reachable:
            self.reachable = False
            logger.warning("store: unreachable", extra=extra)
            self.fire(store_changed(False), "*")
        elif channel is not self._topics[0]:
            logger.info("store: call failed", extra=extra)

    def on_response(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        """Process a response of the store."""
        if channel is self._writer:
            self._finish_write(channel, call, status)
        elif status == STATUS_GONE:
            logger.info(
                "store: requested offset has expired", extra={"topic": channel.name}
            )
            self._restart_from_newest(channel, body)
        elif status != STATUS_OK:
            self.fail_call(channel, call, f"status {status}")
        elif call.kind == "newest":
            self._finish_newest(channel, call, body)
        else:
            self._finish_read(channel, call, body)

    def _restart_from_newest(self, topic: _Topic, body: bytes) -> None:
        """Read the newest records again, then continue from the oldest retained one."""
        oldest = parse_oldest(body, str(self._address))
        topic.oldest = max(topic.oldest, oldest.unwrap_or(0))
        topic.offset, topic.after, topic.page_records = None, "", ()

    def _record_success(self, channel: _Topic) -> None:
        channel.n_failures = channel.n_timeouts = 0
        if channel is self._topics[0] and not self.reachable:
            self.reachable = True
            logger.info("store: reachable", extra={"topic": channel.name})
            self.fire(store_changed(True), "*")

    def _finish_newest(self, topic: _Topic, call: StoreCall, body: bytes) -> None:
        parsed = parse_newest(body, str(self._address))
        if parsed.is_err():
            self.fail_call(topic, call, parsed.err_value.reason)
            return
        answer = parsed.ok_value
        self._record_success(topic)
        # The pages do not form one snapshot. Records that are written between two pages
        # are read again, from the lowest end offset of the pages.
        first = topic.next_offset if call.context else answer.next_offset
        topic.next_offset = min(first, answer.next_offset)
        topic.page_records += answer.records
        topic.after = answer.after
        if answer.after:
            self._start_read(topic, now_s())
            return
        records, topic.page_records = topic.page_records, ()
        topic.offset = max(topic.next_offset, topic.oldest)
        topic.was_read = True
        topic.caught_up_at_s = now_s()
        self.fire(records_read(topic.name, records, topic.offset, True), "*")
        self._start_read(topic, now_s())

    def _finish_read(self, topic: _Topic, call: StoreCall, body: bytes) -> None:
        parsed = parse_read(body, call.context, str(self._address))
        if parsed.is_err():
            self.fail_call(topic, call, parsed.err_value.reason)
            return
        self._record_success(topic)
        answer = parsed.ok_value
        topic.caught_up_at_s = now_s()
        if not answer.records:
            self._start_read(topic, now_s())
            return
        topic.offset = answer.records[-1].offset + 1
        is_first = topic is self._topics[0]
        topic.next_try_at_s = now_s() + (
            FIRST_TOPIC_BATCH_DELAY_S if is_first else OTHER_TOPIC_BATCH_DELAY_S
        )
        records = tuple(self._decode_records(topic, answer.records))
        self.fire(records_read(topic.name, records, topic.offset, False), "*")

    def _decode_records(self, topic: _Topic, records):
        for record in records:
            decoded = decode_keyed(record, str(self._address))
            if decoded.is_ok():
                yield decoded.ok_value
                continue
            extra = {"topic": topic.name, "offset": record.offset}
            error = decoded.err_value
            logger.warning(
                "store: invalid record skipped", extra={**extra, "reason": error.reason}
            )

    def _finish_write(
        self, channel: StoreChannel, call: StoreCall, status: int
    ) -> None:
        if status != STATUS_OK:
            self.fail_call(channel, call, f"status {status}")
            return
        channel.n_failures = 0
        topic, records = call.context
        for record in records:
            if self._pending_writes.get((topic, record.key)) is record:
                del self._pending_writes[topic, record.key]
        self.fire(records_written(topic, records), "*")
        self._start_write(now_s())
