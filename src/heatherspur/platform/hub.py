"""Owns a node's connections to the platform's log.

One connection reads and one appends. An append whose response is lost is sent again.
Appends are idempotent because readers ignore a record whose change id they have
already processed.
"""

import logging
from collections import deque

from circuits import Event, handler

from heatherspur.core import now_s
from heatherspur.platform.calls import StoreCall, StoreChannel, StoreHub
from heatherspur.platform.conf import PlatformSettings
from heatherspur.platform.protocol import (
    STATUS_GONE,
    STATUS_OK,
    append_path,
    encode_record,
    parse_append,
    parse_oldest,
    parse_text_read,
    read_path,
)

__all__ = ["LogHub", "append", "log_answered", "log_expired"]

RETRY_DELAY_S = 0.3
MAX_QUEUED_APPENDS = 64
READ_TIMEOUT_MARGIN_S = 1.0

logger = logging.getLogger("heatherspur.log")


class log_answered(Event):  # noqa: N801 - circuits names events in lower case
    """A read of the log succeeded.

    :param answer: A :class:`~heatherspur.platform.LogAnswer`.
    :param asked_at_s: Clock reading when the read was sent, in seconds.
    """


class log_expired(Event):  # noqa: N801
    """The log no longer retains the requested record.

    :param oldest: Offset of the oldest retained record.
    """


class append(Event):  # noqa: N801
    """Append a record, with retries until the log confirms it.

    :param value: Text of the record.
    """


class LogHub(StoreHub):
    """Follows the stream by long polling, and appends records on request.

    :param settings: Platform settings.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__("log", settings.log, settings.log_timeout_s)
        self._settings = settings
        self._reader = StoreChannel()
        self._writer = StoreChannel()
        self._appends: deque[str] = deque()
        self.next_offset = 0
        self.reachable = False
        self.n_appends = 0

    @property
    def idle(self) -> bool:
        """Whether the log has confirmed every append."""
        return not self._appends

    @handler("append")
    def _on_append(self, value):
        if len(self._appends) >= MAX_QUEUED_APPENDS:
            logger.error("log: append queue is full; record discarded")
            return
        self._appends.append(value)

    @handler("seek", channel="log")
    def _on_seek(self, offset):
        """Continue reading at another offset."""
        self.next_offset = offset

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_overdue_calls((self._reader, self._writer), now)
        self._start_read(now)
        self._start_append(now)

    def _start_read(self, now: float) -> None:
        if not self._reader.is_free(now):
            return
        wait_s = self._settings.log_wait_s
        path = read_path(self._settings.log_stream, self.next_offset, wait_s)
        timeout_s = wait_s + READ_TIMEOUT_MARGIN_S
        call = StoreCall("read", "GET", path, b"", now, timeout_s, self.next_offset)
        self.send(self._reader, call)

    def _start_append(self, now: float) -> None:
        if not self._writer.is_free(now) or not self._appends:
            return
        path = append_path(self._settings.log_stream)
        body = encode_record(self._appends[0].encode())
        timeout_s = self._settings.log_timeout_s
        self.send(self._writer, StoreCall("append", "POST", path, body, now, timeout_s))

    def retry_delay_s(self, channel: StoreChannel) -> float:
        """Return the delay before the next call after a failure, in seconds."""
        return RETRY_DELAY_S

    def on_failure(self, channel: StoreChannel, call: StoreCall, reason: str) -> None:
        """Mark the log as unreachable if a read failed."""
        if channel is self._reader and self.reachable:
            self.reachable = False
            logger.warning("log: unreachable", extra={"reason": reason})

    def on_response(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        """Process a response of the log."""
        if channel is self._reader:
            self._finish_read(channel, call, status, body)
        else:
            self._finish_append(channel, call, status, body)

    def _finish_read(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        peer = str(self._settings.log)
        if status == STATUS_GONE:
            oldest = parse_oldest(body, peer)
            if oldest.is_ok():
                self.fire(log_expired(oldest.ok_value), "catalogue")
                channel.next_try_at_s = now_s() + RETRY_DELAY_S
            return
        answer = parse_text_read(body, call.context, peer)
        if status != STATUS_OK or answer.is_err():
            self.fail_call(channel, call, f"status {status}")
            return
        if not self.reachable:
            self.reachable = True
            logger.info("log: reachable", extra={"head": answer.ok_value.head})
        records = answer.ok_value.records
        if records:
            self.next_offset = records[-1].offset + 1
        self.fire(log_answered(answer.ok_value, call.sent_at_s), "catalogue")
        self._start_read(now_s())

    def _finish_append(
        self, channel: StoreChannel, call: StoreCall, status: int, body: bytes
    ) -> None:
        if status != STATUS_OK:
            self.fail_call(channel, call, f"status {status}")
            return
        if parse_append(body, str(self._settings.log)).is_ok():
            self._appends.popleft()
            self.n_appends += 1
