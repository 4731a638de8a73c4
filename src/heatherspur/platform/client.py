"""Blocking client for the platform's log, used by the command line."""

import http.client
from collections.abc import Iterator

from result import Err, Ok, Result

from heatherspur.core import Address
from heatherspur.platform.conf import LogError
from heatherspur.platform.protocol import (
    STATUS_GONE,
    STATUS_OK,
    LogAnswer,
    LogRecord,
    append_path,
    encode_record,
    parse_append,
    parse_oldest,
    parse_text_read,
    read_path,
)

__all__ = ["LogClient"]


class LogClient:
    """Reads from and appends to one stream; each call opens a new connection.

    :param address: Address of the log service.
    :param stream: Name of the stream.
    :param timeout_s: Socket timeout of a call, in seconds.
    """

    def __init__(self, address: Address, stream: str, timeout_s: float) -> None:
        self._address = address
        self._stream = stream
        self._timeout_s = timeout_s

    def append(self, value: str) -> Result[int, LogError]:
        """Append a record.

        :param value: Text of the record.
        :returns: Offset of the record. After an error, the append may still have taken
            effect.
        """
        path = append_path(self._stream)
        answer = self._call("POST", path, encode_record(value.encode()))
        if answer.is_err():
            return answer
        status, body = answer.ok_value
        if status != STATUS_OK:
            return Err(LogError("append", str(self._address), f"status {status}"))
        return parse_append(body, str(self._address))

    def read(self, offset: int) -> Result[LogAnswer, LogError]:
        """Read records from an offset, or from the oldest retained one if it is later.

        :param offset: Offset of the first record to read.
        :returns: The records and the range of offsets that the log retains.
        """
        answer = self._call("GET", read_path(self._stream, offset, 0), None)
        if answer.is_err():
            return answer
        status, body = answer.ok_value
        peer = str(self._address)
        if status == STATUS_GONE:
            return parse_oldest(body, peer).and_then(self.read)
        if status != STATUS_OK:
            return Err(LogError("read", peer, f"status {status}"))
        return parse_text_read(body, offset, peer)

    def read_all(self) -> Iterator[Result[LogRecord, LogError]]:
        """Yield the whole stream, oldest record first.

        :returns: One result per record; iteration ends after an error.
        """
        offset = 0
        while True:
            answer = self.read(offset)
            if answer.is_err():
                yield answer
                return
            records = answer.ok_value.records
            yield from (Ok(record) for record in records)
            if not records:
                return
            offset = records[-1].offset + 1

    def _call(self, method: str, path: str, body: bytes | None) -> Result:
        host, port = self._address
        connection = http.client.HTTPConnection(host, port, timeout=self._timeout_s)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return Ok((response.status, response.read()))
        except (OSError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            return Err(LogError(method.lower(), str(self._address), reason))
        finally:
            connection.close()
