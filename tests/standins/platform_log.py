"""Stand-in for the platform's store: appends, long polls and newest records by key.

``PUT /faults`` sets faults, as in ``{"down": true, "delay_s": 0.1}``:

- ``down``: drop every connection without an answer.
- ``delay_s``: delay every answer.
- ``lose_replies``: number of appends that take effect but whose reply is lost.
- ``retention``: number of records to keep.
- ``hold_appends``: number of changes of entries to hold until all have arrived.
- ``newest_gap_s``: time between the read of the newest records and that of the end
  offset returned with them.
- ``status``: status to answer every call with, such as 429 above the store's rates.
- ``forgetful``: drop all records except the newest of each key.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import struct
from urllib.parse import parse_qs, urlsplit

from tests.standins.http_server import Request, Response, json_response, serve

MAX_RECORDS_PER_READ = 500


class Stream:
    """Records of one topic, and the newest record of each key."""

    def __init__(self):
        self.records: list[bytes] = []
        self.oldest = 0
        self.newest_by_key: dict[bytes, tuple[int, bytes]] = {}
        self.grown = asyncio.Event()

    @property
    def head(self) -> int:
        return self.oldest + len(self.records)

    def append(self, value: bytes) -> int:
        self.records.append(value)
        key = value[1 : 1 + value[0]] if value else b""
        self.newest_by_key[key] = (self.head - 1, value)
        self.grown.set()
        self.grown = asyncio.Event()
        return self.head - 1

    def forget(self) -> None:
        self.oldest = self.head
        self.records.clear()

    def expire(self, retention: int) -> None:
        surplus = max(0, len(self.records) - retention)
        del self.records[:surplus]
        self.oldest += surplus


class PlatformLog:
    """The store: its streams and the faults that are set."""

    def __init__(self):
        self.streams_by_name: dict[str, Stream] = {}
        self.down = False
        self.delay_s = 0.0
        self.newest_gap_s = 0.0
        self.lose_replies = 0
        self.hold_appends = 0
        self.held: list[asyncio.Event] = []
        self.retention = 1_000_000
        self.status = 0
        self.forgetful = False
        self.n_requests = 0
        self.n_appends = 0

    async def handle(self, request: Request) -> Response | None:
        if request.path == "/faults":
            for name, value in json.loads(request.body).items():
                setattr(self, name, value)
            if self.forgetful:
                for stream in self.streams_by_name.values():
                    stream.forget()
            return json_response({"ok": True})
        if request.path == "/counts":
            counts = {"requests": self.n_requests, "appends": self.n_appends}
            return json_response(counts)
        if request.path == "/oldest":
            streams = self.streams_by_name.values()
            return json_response({"oldest": max(s.oldest for s in streams)})
        if self.down:
            return None
        self.n_requests += 1
        if self.status:
            return json_response({}, self.status)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        parts = urlsplit(request.path)
        query = parse_qs(parts.query)
        stream = self.streams_by_name.setdefault(query["topic"][0], Stream())
        if parts.path == "/log-newest":
            return await self._newest_with_gap(stream)
        if parts.path == "/log-append":
            if b'"entry_put"' in request.body:
                await self._hold()
            return self._append(stream, request.body)
        return await self._read(stream, query)

    async def _hold(self) -> None:
        """Hold an append until ``hold_appends`` of them have arrived."""
        if len(self.held) >= self.hold_appends:
            return
        self.held.append(asyncio.Event())
        own_event = self.held[-1]
        if len(self.held) == self.hold_appends:
            for event in self.held:
                event.set()
        await own_event.wait()

    def _append(self, stream: Stream, body: bytes) -> Response | None:
        first = stream.head
        while body:
            (length,) = struct.unpack_from(">I", body)
            stream.append(body[4 : 4 + length])
            body = body[4 + length :]
        self.n_appends += 1
        stream.expire(self.retention)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return None
        return json_response({"offset": first, "end_offset": stream.head})

    def _newest(self, stream: Stream) -> Response:
        items_by_key = {}
        for name, (offset, record) in stream.newest_by_key.items():
            key, value = name.decode(), record[1 + len(name) :]
            if value:
                text = base64.b64encode(value).decode()
                items_by_key[key] = {"key": key, "value": text, "offset": offset}
        items = [items_by_key[key] for key in sorted(items_by_key)]
        answer = {"items": items, "has_more": False, "end_offset": stream.head}
        return json_response(answer)

    async def _newest_with_gap(self, stream: Stream) -> Response:
        """Answer with an end offset that may include records missing from the items."""
        answer = json.loads(self._newest(stream).body)
        await asyncio.sleep(self.newest_gap_s)
        return json_response({**answer, "end_offset": stream.head})

    async def _read(self, stream: Stream, query: dict) -> Response | None:
        start = int(query["from"][0])
        if start < stream.oldest:
            return json_response({"first": stream.oldest}, 410)
        wait_s = int(query["wait_ms"][0]) / 1000
        if start >= stream.head and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.grown.wait(), wait_s)
        if self.down:
            return None
        first = start - stream.oldest
        values = stream.records[first : first + MAX_RECORDS_PER_READ]
        head = struct.pack(">QQ", stream.head, stream.oldest)
        body = b"".join(struct.pack(">I", len(value)) + value for value in values)
        return Response(200, head + body)


async def main(host: str, port: int) -> None:
    server = await serve(PlatformLog().handle, host, port)
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    asyncio.run(main(arguments.host, arguments.port))
