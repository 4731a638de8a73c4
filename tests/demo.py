"""Demonstrates both interfaces of a node on the stand-ins.

The first part runs nodes beside targets as on the users' platform, the second a fleet
with heatherspur's own interface: a log, three nodes, three targets and a caller.
"""

import json
import tempfile
from pathlib import Path

import httpx

from tests.standins.fleet import Fleet
from tests.standins.site import Site


def _print_response(title: str, response: httpx.Response) -> None:
    outcome = response.headers.get("heatherspur-outcome", "")
    print(
        f"{title}: {response.status_code}, outcome {outcome}: {response.text.strip()}"
    )


def _send_requests(fleet: Fleet, client: httpx.Client, key: str) -> None:
    node_a, node_b = (f"http://{node.callers}" for node in fleet.nodes[:2])
    fields = {"heatherspur-key": key}
    _print_response(
        "GET at zone a", client.get(f"{node_a}/permits/trail-7", headers=fields)
    )
    _print_response(
        "GET at zone b", client.get(f"{node_b}/permits/trail-7", headers=fields)
    )
    _print_response(
        "POST", client.post(f"{node_a}/permits", headers=fields, content=b"permit")
    )
    _print_response("open route, no key", client.get(f"{node_a}/news/today"))
    _print_response("keyed route, no key", client.get(f"{node_a}/permits/trail-7"))
    forbidden = {"heatherspur-key": "hsk_not-granted-to-anybody"}
    _print_response(
        "forbidden key", client.get(f"{node_a}/permits/trail-7", headers=forbidden)
    )
    withdrawn = fleet.command("key", "withdraw", key)
    confirmed = json.loads(withdrawn.stdout)["in_force"]
    print(f"key withdrawn, in force on {len(confirmed)} nodes")
    _print_response(
        "withdrawn key", client.get(f"{node_a}/permits/trail-7", headers=fields)
    )


def _run_platform_demo() -> None:
    """Run three hosts, each with a node and a target, as on the users' platform."""
    folder = Path(tempfile.mkdtemp(prefix="heatherspur-demo-"))
    hosts = (("a", "permits"), ("a", "permits"), ("b", "permits"))
    with Site(folder, hosts) as site:
        print("starting the store, three targets and a node beside each ...")
        site.start()
        for host in site.hosts:
            answer = site.ask(host, "/once/1", "POST", content=b"permit")
            print(f"POST at {host.name}: {answer.status_code}, {answer.text.strip()}")
        site.control(site.hosts[0], mode="reset")
        statuses = [site.ask(h, "/read/1").status_code for h in site.hosts * 3]
        print(f"GET while one target resets connections: {statuses}")
        max_runs = max(site.runs_by_id().values())
        print(f"no request ran more than {max_runs} time; logs: {folder}/*.log")


def main() -> None:
    _run_platform_demo()
    _run_fleet_demo()


def _run_fleet_demo() -> None:
    """Run three nodes and three targets through heatherspur's own interface."""
    folder = Path(tempfile.mkdtemp(prefix="heatherspur-demo-"))
    with Fleet(folder, zones=("a", "b", "c")) as fleet:
        print("starting the log, three nodes and three targets ...")
        fleet.start_nodes_with_targets()
        fleet.apply()
        fleet.wait_ready(n_targets=3)
        print("catalogue applied: service permits, customers guides and inn")
        key = fleet.grant("guides")
        with httpx.Client() as client:
            _send_requests(fleet, client, key)
            metrics = client.get(f"http://{fleet.nodes[0].ops}/metrics").text
        n_series = sum(not line.startswith("#") for line in metrics.splitlines())
        print(f"metrics: http://{fleet.nodes[0].ops}/metrics had {n_series} series")
        print(f"logs: {folder}/node-*.log, one JSON object a line")
    print("all processes ended")


if __name__ == "__main__":
    main()
