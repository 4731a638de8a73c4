"""Measures memory, time and traffic per item for docs/CAPACITY.md to extrapolate.

.venv/bin/python -m benchmarks.capacity [--links 8 16 32]
"""

import argparse
import random
import resource
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from benchmarks.latency import cpu_s
from heatherspur.catalogue import (
    CatalogueState,
    CustomerEntry,
    Route,
    ServiceEntry,
    entry_put,
    key_grant,
)
from heatherspur.exchange import Arrival, ExchangeKey, ExitGate
from heatherspur.limits import LimitSettings, ShareHolder, TokenClient
from heatherspur.link import codec
from heatherspur.link import messages as m
from heatherspur.routing import TargetSelector
from tests.standins.fleet import Fleet, get_json

SETTINGS = LimitSettings(3, 0.9, 0.6, 1.0, 1.2, 86400.0)
SECONDS = 6.0


def memory_per_item(build: Callable[[int], object], sizes: tuple[int, ...]) -> None:
    """Print the memory used per item at several sizes.

    The docstring of `build` names the item in the table.
    """
    for size in sizes:
        tracemalloc.start()
        retained = build(size)
        n_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        total_mb = n_bytes / 1e6
        print(
            f"| {build.__doc__} | {size} | {n_bytes / size:.0f} B | {total_mb:.1f} MB |"
        )
        del retained


def customers(size: int) -> object:
    """A customer with a key"""
    state = CatalogueState()
    for i in range(size):
        entry = CustomerEntry(f"customer-{i}", f"owner {i}", 5.0, 10)
        state.apply(2 * i, entry_put(f"c{i}", "operator", entry, 0))
        digest = i.to_bytes(32, "big")
        state.apply(2 * i + 1, key_grant(f"k{i}", "operator", digest, entry.id))
    return state


def routes(size: int) -> object:
    """A route"""
    state = CatalogueState()
    for i in range(size // 78 + 1):
        prefixes = (Route(f"/s{i}/r{j}", False, ("GET",)) for j in range(78))
        entry = ServiceEntry(
            f"s{i}", "o", "steady", tuple(prefixes), 1000, 1, 0.5, 64, 1, 1
        )
        state.apply(i, entry_put(f"c{i}", "operator", entry, 0))
    return state


def buckets(size: int) -> object:
    """A customer's bucket at a holder"""
    holder = ShareHolder(0, 3, 0.0, SETTINGS, lambda _: (5.0, 10))
    for i in range(size):
        holder.grant("b", m.TokenRequest(i, 0, f"customer-{i}", 1), 1e5)
    return holder


def target_views(size: int) -> object:
    """A target at an entry"""
    target_selector = TargetSelector("z", random.Random(1))
    for i in range(size):
        target_selector.update_node(f"n{i}", "z", (report(f"t{i}", f"s{i % 50}"),))
    return target_selector


def report(target: str, service: str) -> m.TargetReport:
    """Return a typical target report."""
    return m.TargetReport(target, service, 4, 1, 0, "active", 3.0, 0.3, 0.0, 100)


def time_per_call(name: str, call: Callable[[int], object], n_calls: int) -> None:
    """Print the mean duration of a call in microseconds."""
    started = time.perf_counter()
    for i in range(n_calls):
        call(i)
    elapsed_us = (time.perf_counter() - started) / n_calls * 1e6
    print(f"| {name} | {elapsed_us:.1f} us |")


def measure_durations() -> None:
    """Print the durations of frequently repeated operations and sizes of heartbeats."""
    state = CatalogueState()
    entry = CustomerEntry("c", "o", 5.0, 10)
    records = [
        entry_put(f"x{i}", "op", entry._replace(id=f"c{i}"), 0) for i in range(5000)
    ]
    time_per_call("apply a record", lambda i: state.apply(i, records[i]), 5000)
    index = routes(68_000).routes
    time_per_call(
        "find a route of 68,000", lambda i: index.find(f"/s{i % 800}/r7/a/b"), 20_000
    )
    heartbeat_message = m.Heartbeat(
        1.0, 1.0, 1, 0.1, tuple(report(f"t{i}", "s") for i in range(9))
    )
    data = codec.encode([heartbeat_message])
    print(f"| heartbeat of 9 targets | {len(data)} B |")
    small = codec.encode(
        [heartbeat_message._replace(targets=heartbeat_message.targets[:1])]
    )
    print(f"| heartbeat of 1 target | {len(small)} B |")
    time_per_call(
        "encode a heartbeat of 9", lambda i: codec.encode([heartbeat_message]), 5000
    )
    time_per_call("decode a heartbeat of 9", lambda i: codec.decode(data, "p"), 5000)
    target_selector = TargetSelector("z", random.Random(1))
    for i in range(56):
        target_selector.update_node(f"n{i}", f"z{i % 3}", (report(f"t{i}", "s"),))
    time_per_call(
        "choose among 56 targets",
        lambda i: target_selector.select("s", 0.5, True, frozenset(), 1.0),
        5000,
    )
    gate = ExitGate("i", 1e9)
    gate.set_target("t", 4, 64)

    def pass_gate(i: int) -> None:
        key = ExchangeKey("e", i + 1)
        arrival = Arrival(key, "i", 0.0, "t", "c", 1000, True)
        list(gate.arrive(arrival, None, 1.0))
        list(gate.finish(key, 5.0, 1.0))

    time_per_call("pass the exit's gate", pass_gate, 20_000)
    holder = ShareHolder(0, 3, 0.0, SETTINGS, lambda _: (1e6, 1_000_000))

    def lease_and_settle(i: int) -> None:
        holder.grant("b", m.TokenRequest(i, 0, "c", 2), 1e5 + i / 1000)
        holder.settle(
            "b", m.TokenSettlement(0, (m.Settlement(i, 2, 0),)), 1e5 + i / 1000
        )

    time_per_call("lend and settle at a holder", lease_and_settle, 20_000)
    token_client = TokenClient(SETTINGS)
    token_client.n_shares = 3

    def request_token(i: int) -> None:
        for message in list(token_client.request("c", i, i / 1000)):
            if hasattr(message, "message") and isinstance(
                message.message, m.TokenRequest
            ):
                request = message.message
                grant = m.TokenGrant(
                    request.loan, request.share, "c", request.amount, 0
                )
                list(token_client.grant(grant, i / 1000))

    time_per_call("take a token at an entry", request_token, 20_000)


def measure_fleets(sizes: list[int]) -> None:
    """Print the resources that idle nodes use, by number of nodes."""
    print("| nodes | processor share a node | memory a node | log requests/s |")
    for size in sizes:
        folder = Path(tempfile.mkdtemp(prefix="heatherspur-capacity-"))
        with Fleet(folder) as fleet:
            for i in range(size):
                fleet.start_node("abc"[i % 3])
            for node in fleet.nodes:
                fleet.wait_for(
                    node, lambda s, n=size: len(s["nodes"]) >= min(n - 1, 60), 120
                )
            pids = [fleet.processes[node.link].pid for node in fleet.nodes]
            time.sleep(2)
            before_s, log_before = cpu_s(pids), get_json(fleet.log, "/counts")
            sent_before = sent_bytes(fleet)
            time.sleep(SECONDS)
            used = (cpu_s(pids) - before_s) / SECONDS / size
            n_log = get_json(fleet.log, "/counts")["requests"] - log_before["requests"]
            sent = (sent_bytes(fleet) - sent_before) / SECONDS / size
            memory_mb = sum(resident_mb(pid) for pid in pids) / size
            print(
                f"| {size} | {used:.2%} | {memory_mb:.1f} MB | {n_log / SECONDS:.0f} "
                f"| {sent:.0f} link B/s sent a node |",
                flush=True,
            )


def sent_bytes(fleet: Fleet) -> int:
    """Return the total number of bytes that all nodes sent over links."""
    return sum(fleet.status(node)["link_bytes_sent"] for node in fleet.nodes)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--links", type=int, nargs="*", default=[8, 16, 32])
    options = parser.parse_args()
    print("| item | number | each | all |")
    for build, sizes in (
        (customers, (1000, 10_000, 130_000)),
        (routes, (1000, 10_000, 68_000)),
        (buckets, (1000, 10_000)),
        (target_views, (100, 1000)),
    ):
        memory_per_item(build, sizes)
    measure_durations()
    measure_fleets(options.links)


if __name__ == "__main__":
    main()
