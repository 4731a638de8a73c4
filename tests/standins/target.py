"""Stand-in for a target: a small HTTP service with slots and gray failure modes.

``PUT /control`` takes ``{"mode": ..., "service_s": ..., "drain": true, "cold_s": 3}``
(``cold_s``: slow for this time, as after a start). Requests are answered with 504 at
their deadline. Modes: ``good``, ``slow`` (ten times the service time), ``partial``
(every fifth request hangs), ``truncate``, ``error`` (status 500), ``garbage``,
``hang``, ``shed`` and ``close`` (after the work). ``GET /seen`` returns how often each
request ran and its header fields.
"""

import argparse
import asyncio
import contextlib
import json
import time
import urllib.request
from collections import Counter

from tests.standins.http_server import Request, Response, json_response, serve

SLOW_FACTOR = 10
HANG_S = 60


class Target:
    """The state of the target: its mode and the requests that it received."""

    def __init__(self, name: str, slots: int, service_s: float):
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.n_slots = slots
        self.service_s = service_s
        self.mode = "good"
        self.cold_until_s = 0.0
        self.n_expired = 0
        self.cold_s = 0.0
        self.silent = False
        self.drain = False
        self.n_requests = 0
        self.n_cancelled = 0
        self.runs_by_id: Counter[str] = Counter()
        self.seen_fields: list[list[str]] = []
        self.seen_paths: list[str] = []

    async def handle(self, request: Request) -> Response | None:
        if request.path == "/control":
            for name, value in json.loads(request.body).items():
                setattr(self, name, value)
            if self.cold_s:
                self.cold_until_s = time.monotonic() + self.cold_s
                self.cold_s = 0.0
            return json_response({"ok": True})
        if request.path == "/seen":
            return json_response(self.seen())
        try:
            return await self._work(request)
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise

    def seen(self) -> dict:
        return {
            "runs": self.runs_by_id,
            "fields": self.seen_fields,
            "paths": self.seen_paths,
            "n_requests": self.n_requests,
            "n_cancelled": self.n_cancelled,
            "n_expired": self.n_expired,
        }

    async def _work(self, request: Request) -> Response | None:
        mode = self.mode
        if mode == "shed":
            return Response(503, b"shed\n", [(b"heatherspur-shed", b"1")])
        self.n_requests += 1
        self.seen_paths.append(request.path)
        fields = {n.decode(): v.decode() for n, v in request.fields}
        self.seen_fields.append([f"{n}: {v}" for n, v in fields.items()])
        if "x-request-id" in fields:
            self.runs_by_id[fields["x-request-id"]] += 1
        left_s = int(fields.get("heatherspur-deadline-ms", 60_000)) / 1000
        try:
            async with asyncio.timeout(left_s), self.slots:
                await asyncio.sleep(self._service_s(mode))
        except TimeoutError:
            self.n_expired += 1
            return Response(504, b"deadline is over\n")
        return self._answer(mode, request, fields)

    def _service_s(self, mode: str) -> float:
        is_fifth = self.n_requests % 5 == 0
        if mode == "hang" or (mode == "partial" and is_fifth):
            return HANG_S
        is_cold = time.monotonic() < self.cold_until_s
        return self.service_s * (SLOW_FACTOR if mode == "slow" or is_cold else 1)

    def _answer(self, mode: str, request: Request, fields: dict) -> Response | None:
        if mode == "close":
            return None
        if mode == "garbage":
            request.writer.write(b"NOT HTTP AT ALL\r\n\r\n")
            return None
        if mode == "truncate":
            request.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort")
            return None
        if mode == "error":
            return Response(500, b"failed\n")
        if request.path.startswith("/big/"):
            size = int(request.path.split("/")[2].partition("?")[0])
            return Response(200, bytes(i % 251 for i in range(251)) * (size // 251))
        body = {
            "target": self.name,
            "path": request.path,
            "customer": fields.get("heatherspur-customer", ""),
            "n_bytes": len(request.body),
        }
        return json_response(body)


def _post(address: str, body: bytes) -> None:
    request = urllib.request.Request(f"http://{address}/announce", data=body)
    with urllib.request.urlopen(request, timeout=1):
        pass


async def announce(target: Target, service: str, address: str, ops: str) -> None:
    loop = asyncio.get_running_loop()
    while True:
        body = {
            "target": target.name,
            "service": service,
            "address": address,
            "slots": target.n_slots,
            "state": "draining" if target.drain else "ready",
            "lease_s": 2.0,
        }
        if not target.silent:
            with contextlib.suppress(OSError):
                data = json.dumps(body).encode()
                await loop.run_in_executor(None, _post, ops, data)
        await asyncio.sleep(0.4)


async def main(options: argparse.Namespace) -> None:
    target = Target(options.name, options.slots, options.service_s)
    server = await serve(target.handle, options.host, options.port)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    address = f"{options.host}:{port}"
    if options.ops:
        await announce(target, options.service, address, options.ops)
    await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--service-s", type=float, default=0.005)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ops", default="")
    asyncio.run(main(parser.parse_args()))
