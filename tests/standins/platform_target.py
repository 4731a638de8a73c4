"""Stand-in for a target on the users' platform, beside one node.

It sends heartbeats to its node, echoes attempt ids, signs its responses and rejects
requests that are addressed to another instance. ``PUT /standin`` takes ``{"mode": ...,
"state": "draining", "service_s": 0.1}``; modes are ``good``, ``reset``, ``truncate``,
``garbage``, ``extra`` (a foreign response before its own), ``error``, ``shed``,
``hang``, ``unsigned``, ``unframed``, ``cut-head``, ``repeat`` and ``repeat-unnamed`` (a
refusal of an earlier request, with its id or without one, before its own response),
``endless-head``, ``endless-interim`` and ``endless-body`` (until the node closes).
``GET /standin`` returns what was received and run.
"""

import argparse
import asyncio
import contextlib
import json
import time
from collections import Counter

from tests.standins.http_server import Request, Response, json_response, serve

HEARTBEAT_S = 0.3
PIECE_BYTES = 65536
ENDLESS_PIECES = {
    "endless-head": b"HTTP/1.1 200 OK\r\n" + b"x: z\r\n" * (PIECE_BYTES // 6),
    "endless-interim": b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE_BYTES // 25),
    "endless-body": b"y" * PIECE_BYTES,
}


class PlatformTarget:
    """A target instance: its mode, its state and the requests that it received."""

    def __init__(self, name: str, service: str, zone: str, control: str):
        self.name, self.service, self.zone, self.control = name, service, zone, control
        self.mode = "good"
        self.state = "ready"
        self.service_s = 0.01
        self.answer_bytes = 0
        self.slots = 3
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.silent = False
        self.n_running = 0
        self.most_running = 0
        self.n_cancelled = 0
        self.runs_by_id: Counter[str] = Counter()
        self.seen_fields: list[dict[str, str]] = []

    async def handle(self, request: Request) -> Response | None:
        if request.path == "/standin":
            if request.body:
                for name, value in json.loads(request.body).items():
                    setattr(self, name, value)
            return json_response(self.seen())
        fields = {n.decode(): v.decode() for n, v in request.fields}
        request_id = fields.get("heatherspur-attempt-id", "")
        echo = [(b"Heatherspur-Attempt-Id", request_id.encode())]
        if fields.get("heatherspur-expect-instance", self.name) != self.name:
            return Response(421, b"", echo)
        if self.mode == "shed":
            return Response(503, b"", [*echo, (b"Heatherspur-Not-Executed", b"1")])
        if self.mode == "reset":
            return None
        self.seen_fields.append({**fields, "path": request.path})
        self.runs_by_id[request_id] += 1
        self.n_running += 1
        self.most_running = max(self.most_running, self.n_running)
        try:
            await asyncio.sleep(60 if self.mode == "hang" else self.service_s)
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise
        finally:
            self.n_running -= 1
        return await self._answer(request, echo)

    async def _answer(self, request: Request, echo) -> Response | None:
        signed = [*echo, (b"Heatherspur-Response-Signature", b"1f.2a")]
        body = f"{self.name} ran {request.method} {request.path}\n".encode()
        body = b"." * (self.answer_bytes - len(body)) + body
        writer, mode = request.writer, self.mode
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(
            n + b": " + v + b"\r\n" for n, v in signed
        )
        if mode == "error":
            return Response(500, b"", signed)
        if mode == "unsigned":
            return Response(200, body, echo)
        if mode == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
        elif mode == "truncate":
            writer.write(head + b"Content-Length: 1000\r\n\r\n" + body)
        elif mode == "unframed":
            writer.write(head + b"Connection: close\r\n\r\n" + body)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            writer.close()
            await asyncio.sleep(1)
        elif mode == "cut-head":
            writer.write(head[: len(head) * 2 // 3])
        elif mode in ENDLESS_PIECES:
            await self._write_endlessly(writer, head, ENDLESS_PIECES[mode])
        elif mode in ("repeat", "repeat-unnamed"):
            named = b"Heatherspur-Attempt-Id: feedfeedfeedfeed\r\n"
            writer.write(
                b"HTTP/1.1 503 Busy\r\nHeatherspur-Not-Executed: 1\r\n"
                + (named if mode == "repeat" else b"")
                + b"Content-Length: 0\r\n\r\n"
            )
            return Response(200, body, signed)
        elif mode == "extra":
            foreign = head.replace(echo[0][1], b"feedfeedfeedfeed")
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            writer.write(foreign + length + body)
            return Response(200, body, signed)
        else:
            return Response(200, body, signed)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        return None

    async def _write_endlessly(self, writer, head: bytes, piece: bytes) -> None:
        """Write a piece until the node closes the connection."""
        if self.mode == "endless-body":
            writer.write(head + b"\r\n")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()

    def seen(self) -> dict:
        return {
            "runs": self.runs_by_id,
            "fields": self.seen_fields,
            "most_running": self.most_running,
            "n_cancelled": self.n_cancelled,
        }

    async def report(self) -> None:
        while True:
            if not self.silent:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    await asyncio.wait_for(self._report_once(), 1)
            await asyncio.sleep(HEARTBEAT_S)

    async def _report_once(self) -> None:
        self.sequence += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": self.state, "sequence": self.sequence, "cold": "0ms"}
        beat = {
            "address": self.address,
            "born": self.born,
            "info": info,
            "status": status,
        }
        body = json.dumps(beat).encode()
        host, port = self.control.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /instances/{self.name}/heartbeat HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await reader.read()
        writer.close()


async def main(arguments: argparse.Namespace) -> None:
    target = PlatformTarget(
        arguments.name, arguments.service, arguments.zone, arguments.control
    )
    server = await serve(target.handle, arguments.host, arguments.port)
    port = server.sockets[0].getsockname()[1]
    target.address = arguments.told or f"{arguments.host}:{port}"
    print(json.dumps({"port": port}), flush=True)
    await asyncio.gather(server.serve_forever(), target.report())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--told", default="", help="address to report in its place")
    for name in ("name", "service", "zone", "control"):
        parser.add_argument(f"--{name}", required=True)
    asyncio.run(main(parser.parse_args()))
