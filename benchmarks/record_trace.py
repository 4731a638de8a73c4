"""Records a trace of a running fleet in which the third target turns gray.

.venv/bin/python -m benchmarks.record_trace slow tests/traces/slow-target.jsonl
"""

import argparse
import concurrent.futures
import json
import tempfile
import time
from pathlib import Path

import httpx

from tests.standins.fleet import CATALOGUE, Fleet

FAULT_AT_S = 4.0
SECONDS = 9.0
N_CALLERS = 4
PERIOD_S = 0.1
SWIFT = 'floor = 0.5\nservice_class = "swift"'


def call(fleet: Fleet, key: str, index: int, until: float) -> None:
    """Send requests to one node until a monotonic time in seconds."""
    url = f"http://{fleet.nodes[index % 3].callers}/permits"
    with httpx.Client(timeout=10) as client:
        while time.monotonic() < until:
            client.get(url, headers={"heatherspur-key": key})
            time.sleep(PERIOD_S)


def main() -> None:
    """Record a trace and write it with the fault's details to the output file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", help="mode of the stand-in target, such as slow")
    parser.add_argument("output", type=Path)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="heatherspur-trace-"))
    trace = folder / "trace.jsonl"
    flags = ("--warm-up-s=1", "--probe-delay-s=2")
    with Fleet(folder, zones=("a", "b", "c"), extra_flags=flags) as fleet:
        for zone in fleet.zones:
            trace_flags = (f"--trace={trace}",) if zone == "c" else ()
            node = fleet.start_node(zone, None, *trace_flags)
            fleet.wait_for(node, lambda status: True)
        fleet.apply(
            CATALOGUE.replace("floor = 0.5", 'floor = 0.5\nservice_class = "swift"')
        )
        for number, node in enumerate(fleet.nodes, 1):
            fleet.start_target(f"target-{number}", "permits", node, "--service-s=0.01")
        fleet.wait_ready(n_targets=3)
        key = fleet.grant("guides")
        until = time.monotonic() + SECONDS
        with concurrent.futures.ThreadPoolExecutor() as pool:
            for index in range(N_CALLERS * 3):
                pool.submit(call, fleet, key, index, until)
            time.sleep(FAULT_AT_S)
            fault_at_s = time.clock_gettime(time.CLOCK_BOOTTIME)
            fleet.control("target-3", mode=options.mode)
    lines = trace.read_text("utf-8").splitlines()
    fault = json.dumps(
        {"fault": options.mode, "target": "target-3", "at_s": fault_at_s}
    )
    options.output.write_text("\n".join([f"# {fault}", *lines]) + "\n", "utf-8")
    print(f"{len(lines)} lines, fault at {fault_at_s}")


if __name__ == "__main__":
    main()
