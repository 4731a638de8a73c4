"""Follows topics with keys and writes records to them, for a node."""

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

__all__ = ["KeyedHub", "put_record", "records_read", "store_changed"]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
# The store allows 30 s, but an answer can get lost on a connection that stays open,
# and only the end of the wait shows it. With the margin this is about the time after
# which the store counts as stable again.
READ_WAIT_S = 3.0
READ_MARGIN_S = 1.0
# A store that is slow answers later; each time-out in a row doubles the margin.
MAX_READ_MARGIN_S = 4.0
# The first reads after a start or an outage are short: a read that the store took
# while a record was being written may not be woken by it.
FIRST_READ_WAIT_S = 0.5
# After a longer silence only the newest configuration is read: a row of large ones that
# nobody needs any more takes seconds on a slow link.
START_OVER_AFTER_S = READ_WAIT_S + READ_MARGIN_S
# Records that come in quick succession are read together. The first topic has a bound
# of 2 s; the others change most when many nodes start, and wait longer.
FIRST_PAUSE_S = 0.25
OTHER_PAUSE_S = 1.0
# After an outage nodes are back within the 2 s that the store's users count on;
# refused calls are priced too.
MIN_RETRY_S = 0.3
MAX_RETRY_S = 1.6
STORE_KEEPALIVE = Keepalive(idle_s=1, interval_s=1, n_probes=2, unacked_ms=2000)

logger = logging.getLogger("heatherspur.store")


class records_read(Event):  # noqa: N801 - circuits names events in lower case
    """Records of a topic came.

    :param topic: Name of the topic.
    :param records: The records, oldest first.
    :param next_offset: Offset up to which the topic is known with them.
    :param is_whole: Whether they are the newest records of all keys, so that keys
        that are missing are gone.
    """


class store_changed(Event):  # noqa: N801
    """The store was lost or regained.

    :param reachable: Whether it answers.
    """


class put_record(Event):  # noqa: N801
    """Write a record; sent again until the store confirms it.

    A later record of the same key replaces one that was not written yet.

    :param topic: Name of the topic.
    :param record: The record.
    """


class _Topic(StoreChannel):
    """One topic that is followed, over a connection of its own.

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
        self.pages: tuple[KeyedRecord, ...] = ()
        # When the topic was last known to be read to its end.
        self.current_at_s = 0.0
        self.n_timeouts = 0

    @property
    def margin_s(self) -> float:
        """Seconds that an answer may take besides its wait."""
        return min(MAX_READ_MARGIN_S, READ_MARGIN_S * 2**self.n_timeouts)


class KeyedHub(StoreHub):
    """Follows topics and writes records.

    :param address: Address of the store.
    :param topics: Names of the topics to follow; the first tells whether the store
        is reachable.
    """

    keepalive = STORE_KEEPALIVE

    def __init__(self, address: Address, topics: tuple[str, ...]) -> None:
        super().__init__("store", address, CONNECT_TIMEOUT_S)
        self._topics = [_Topic(name) for name in topics]
        self._writer = StoreChannel()
        self._unwritten: dict[tuple[str, str], KeyedRecord] = {}
        self._rng = random.Random()
        self.reachable = False
        self._paused = False

    @property
    def idle(self) -> bool:
        """Whether every record is written."""
        return not self._unwritten

    @property
    def reads_store_directly(self) -> bool:
        """Whether the newest records come from the store itself."""
        return self.reachable and not self._paused

    def pause(self, paused: bool) -> None:
        """Stop reading while a neighbour passes the records on, or go on.

        :param paused: Whether to stop.
        """
        if paused == self._paused:
            return
        self._paused = paused
        for topic in self._topics:
            topic.wait_s = FIRST_READ_WAIT_S
            topic.current_at_s = now_s()
            self._abandon(topic)

    def advance(self, name: str, next_offset: int) -> None:
        """Note that the records before an offset came from a neighbour.

        :param name: Name of the topic.
        :param next_offset: Offset to read on from.
        """
        topic = next(topic for topic in self._topics if topic.name == name)
        if topic.offset is None:
            self._abandon(topic)
        topic.offset = max(topic.offset or 0, next_offset)
        topic.current_at_s = now_s()

    def refresh(self, name: str) -> None:
        """Read a topic over a new connection, if the read under way waits for long.

        :param name: Name of the topic.
        """
        topic = next(topic for topic in self._topics if topic.name == name)
        if topic.call is not None and not topic.call.waits_long:
            return
        topic.wait_s = FIRST_READ_WAIT_S
        topic.next_try_at_s = 0.0
        self._abandon(topic)

    def _abandon(self, topic: _Topic) -> None:
        """Give the call under way up without counting it as a failure."""
        stream, topic.stream, topic.call = topic.stream, None, None
        topic.after, topic.pages = "", ()
        if stream is not None and not stream.closed:
            stream.abort()

    @handler("put_record")
    def _on_put_record(self, topic, record):
        self._unwritten[topic, record.key] = record
        self._start_write(now_s())

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_calls((*self._topics, self._writer), now)
        for i, topic in enumerate(self._topics):
            is_due = topic.is_free(now) and (i == 0 or self.reachable)
            if is_due and not self._paused:
                self._start_read(topic, now)
        if self.reachable or self._paused:
            self._start_write(now)

    def _start_read(self, topic: _Topic, now: float) -> None:
        is_first = topic is self._topics[0]
        if is_first and now - topic.current_at_s > START_OVER_AFTER_S:
            topic.offset = None
        if topic.offset is None:
            path = newest_path(topic.name, topic.after)
            timeout_s = max(CALL_TIMEOUT_S, topic.margin_s)
            call = StoreCall("newest", "GET", path, b"", now, timeout_s, topic.after)
        else:
            path = read_path(topic.name, topic.offset, topic.wait_s)
            timeout_s = topic.wait_s + topic.margin_s
            waits_long = topic.wait_s > FIRST_READ_WAIT_S
            topic.wait_s = min(READ_WAIT_S, topic.wait_s * 2)
            call = StoreCall(
                "read", "GET", path, b"", now, timeout_s, topic.offset, waits_long
            )
        self.send(topic, call)

    def _start_write(self, now: float) -> None:
        if not self._writer.is_free(now) or not self._unwritten:
            return
        (topic, _), record = next(iter(self._unwritten.items()))
        body = encode_record(encode_keyed(record))
        path = append_path(topic)
        context = (topic, record)
        self.send(
            self._writer,
            StoreCall("append", "POST", path, body, now, CALL_TIMEOUT_S, context),
        )

    def retry_delay_s(self, channel: StoreChannel) -> float:
        """Return the seconds until a channel may call again after a failure."""
        delay_s = MIN_RETRY_S * 2 ** min(channel.n_failures - 1, 5)
        return min(MAX_RETRY_S, delay_s) * (0.75 + self._rng.random() / 2)

    def on_failure(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Note that the store gave no answer."""
        if isinstance(channel, _Topic):
            channel.wait_s = FIRST_READ_WAIT_S
            channel.n_timeouts += reason == TIMED_OUT
        extra = {"call": call.kind, "reason": reason}
        if channel is self._topics[0] and self.reachable:
            self.reachable = False
            logger.warning("store: lost", extra=extra)
            self.fire(store_changed(False), "*")
        elif channel is not self._topics[0]:
            logger.info("store: call failed", extra=extra)

    def on_answer(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        """Take the store's answer."""
        if channel is self._writer:
            self._finish_write(channel, call, status)
        elif status == STATUS_GONE:
            logger.info("store: history is gone", extra={"topic": channel.name})
            self._start_over(channel, body)
        elif status != STATUS_OK:
            self.fail_answer(channel, call, f"status {status}")
        elif call.kind == "newest":
            self._finish_newest(channel, call, body)
        else:
            self._finish_read(channel, call, body)

    def _start_over(self, topic: _Topic, body: bytes) -> None:
        """Read the newest records again, and go on from the oldest kept."""
        oldest = parse_oldest(body, str(self._address))
        topic.oldest = max(topic.oldest, oldest.unwrap_or(0))
        topic.offset, topic.after, topic.pages = None, "", ()

    def _note_reachable(self, channel: _Topic) -> None:
        channel.n_failures = channel.n_timeouts = 0
        if channel is self._topics[0] and not self.reachable:
            self.reachable = True
            logger.info("store: regained", extra={"topic": channel.name})
            self.fire(store_changed(True), "*")

    def _finish_newest(self, topic: _Topic, call: StoreCall, body: bytes) -> None:
        parsed = parse_newest(body, str(self._address))
        if parsed.is_err():
            self.fail_answer(topic, call, parsed.err_value.reason)
            return
        answer = parsed.ok_value
        self._note_reachable(topic)
        # Pages are no snapshot: what is written meanwhile is read again.
        first = topic.next_offset if call.context else answer.next_offset
        topic.next_offset = min(first, answer.next_offset)
        topic.pages += answer.records
        topic.after = answer.after
        if answer.after:
            self._start_read(topic, now_s())
            return
        records, topic.pages = topic.pages, ()
        topic.offset = max(topic.next_offset, topic.oldest)
        topic.current_at_s = now_s()
        self.fire(records_read(topic.name, records, topic.offset, True), "*")
        self._start_read(topic, now_s())

    def _finish_read(self, topic: _Topic, call: StoreCall, body: bytes) -> None:
        parsed = parse_read(body, call.context, str(self._address))
        if parsed.is_err():
            self.fail_answer(topic, call, parsed.err_value.reason)
            return
        self._note_reachable(topic)
        answer = parsed.ok_value
        topic.current_at_s = now_s()
        if not answer.records:
            self._start_read(topic, now_s())
            return
        topic.offset = answer.records[-1].offset + 1
        is_first = topic is self._topics[0]
        topic.next_try_at_s = now_s() + (FIRST_PAUSE_S if is_first else OTHER_PAUSE_S)
        records = tuple(self._decoded(topic, answer.records))
        self.fire(records_read(topic.name, records, topic.offset, False), "*")

    def _decoded(self, topic: _Topic, records):
        for record in records:
            decoded = decode_keyed(record, str(self._address))
            if decoded.is_ok():
                yield decoded.ok_value
                continue
            extra = {"topic": topic.name, "offset": record.offset}
            error = decoded.err_value
            logger.warning(
                "store: record skipped", extra={**extra, "reason": error.reason}
            )

    def _finish_write(
        self, channel: StoreChannel, call: StoreCall, status: int
    ) -> None:
        if status != STATUS_OK:
            self.fail_answer(channel, call, f"status {status}")
            return
        channel.n_failures = 0
        topic, record = call.context
        if self._unwritten.get((topic, record.key)) is record:
            del self._unwritten[topic, record.key]
        self._start_write(now_s())
