"""Measures the latency that the fleet adds to a request.

Two nodes in two zones run with one target each. Requests alternate between a node and
its target directly, on keep-alive connections at a fixed rate per node:

    .venv/bin/python -m benchmarks.latency --seconds 10
"""

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from tests.standins.fleet import Fleet

N_CONNECTIONS = 8
SERVICE_S = 0.002
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TARGET_ADDED_MS = 1.9


class Sample(NamedTuple):
    """Latencies of one kind of request, in milliseconds."""

    proxied: list[float]
    direct: list[float]


class Connection:
    """One HTTP/1.1 keep-alive connection, opened on first use."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, data: bytes) -> float:
        """Send a request and return the latency of the complete answer in milliseconds.

        :raises RuntimeError: If the status of the answer is not 200.
        """
        if self.writer is None:
            host, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        started = time.perf_counter()
        self.writer.write(data)
        head = await self.reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(head.decode("latin-1"))
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await self.reader.readexactly(length)
        return (time.perf_counter() - started) * 1000


def request_bytes(method: str, key: str) -> bytes:
    """Return the bytes of a GET request, or of a POST request with a body of 1 KB."""
    body = b"x" * 1024 if method == "POST" else b""
    head = f"{method} /permits/1 HTTP/1.1\r\nhost: x\r\nheatherspur-key: {key}\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


async def drive(pairs, method, key, rate, seconds) -> Sample:
    """Send requests at a fixed rate per node, alternating proxied and direct ones."""
    sample = Sample([], [])
    data = request_bytes(method, key)
    tasks = []

    async def send_request(pool: asyncio.Queue, times: list[float]) -> None:
        connection = await pool.get()
        times.append(await connection.request(data))
        pool.put_nowait(connection)

    pools = []
    for node, target in pairs:
        pool_pair = []
        for address in (node, target):
            pool: asyncio.Queue = asyncio.Queue()
            for _ in range(N_CONNECTIONS):
                connection = Connection(address)
                await connection.request(data)
                pool.put_nowait(connection)
            pool_pair.append(pool)
        pools.append(pool_pair)
    interval_s = 1 / rate / 2
    started = time.perf_counter()
    for number in range(int(rate * seconds * 2)):
        for index, (proxied, direct) in enumerate(pools):
            is_proxied = (number + index) % 2 == 0
            pool = proxied if is_proxied else direct
            times = sample.proxied if is_proxied else sample.direct
            tasks.append(asyncio.ensure_future(send_request(pool, times)))
        due = started + (number + 1) * interval_s
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
    await asyncio.gather(*tasks)
    return sample


def cpu_s(pids: list[int]) -> float:
    """Return the total CPU time of the processes in seconds."""
    total = 0
    for pid in pids:
        parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += int(parts[11]) + int(parts[12])
    return total / CLOCK_TICKS_PER_S


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, to a resolution of 0.001."""
    return statistics.quantiles(values, n=1000)[int(share * 1000) - 1]


def measure(fleet: Fleet, key: str, seconds: float, rates: list[int]) -> None:
    """Print one row for each rate and method."""
    nodes = fleet.nodes
    pairs = [
        (node.callers, target)
        for node, target in zip(nodes, fleet.targets_by_name.values(), strict=True)
    ]
    pids = [fleet.processes[node.link].pid for node in nodes]
    idle_s = cpu_s(pids)
    time.sleep(3)
    idle_share = (cpu_s(pids) - idle_s) / 3
    print("| requests/s a node | method | direct p50/p99 ms | proxied p50/p99 ms |")
    print("| added p50/p99 ms | node CPU ms a request | target at p99 |")
    for rate in rates:
        for method in ("GET", "POST"):
            before_s, began = cpu_s(pids), time.perf_counter()
            sample = asyncio.run(drive(pairs, method, key, rate, seconds))
            elapsed_s = time.perf_counter() - began
            used_s = cpu_s(pids) - before_s - idle_share * elapsed_s
            p = [quantile(v, s) for v in sample[::-1] for s in (0.5, 0.99)]
            added_50, added_99 = p[2] - p[0], p[3] - p[1]
            cpu_ms = used_s * 1000 / len(sample.proxied)
            met = "met" if added_99 <= TARGET_ADDED_MS else "missed"
            print(
                f"| {rate} | {method} | {p[0]:.2f}/{p[1]:.2f} | {p[2]:.2f}/{p[3]:.2f} "
                f"| {added_50:.2f}/{added_99:.2f} | {cpu_ms:.2f} | {met} |"
            )
    print(f"idle processor share a node: {idle_share / len(pids):.2%}")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rates", type=int, nargs="*", default=[80, 240])
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="heatherspur-latency-"))
    with Fleet(folder) as fleet:
        flags = ("--slots=16", f"--service-s={SERVICE_S}")
        fleet.start_nodes_with_targets("permits", *flags)
        fleet.apply(CATALOGUE)
        fleet.wait_ready(n_targets=2)
        measure(fleet, fleet.grant("bench"), options.seconds, options.rates)


CATALOGUE = """
[[service]]
id = "permits"
owner = "benchmark"
routes = [{ prefix = "/permits" }]

[[customer]]
id = "bench"
owner = "benchmark"
rate = 5000
burst = 5000
"""

if __name__ == "__main__":
    main()
