"""Starts a small site of the users' platform: a store and hosts, each with a node.

Each host also runs a target. It has its own loopback address, so all hosts use the
same ports.
"""

import itertools
import json
import os
import signal
import struct
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import httpx

PORTS = {"inbound": 7101, "outbound": 7102, "readiness": 7103, "control": 7104}
TARGET_PORT = 7105
METRICS_PORT = 9464
ROOT = Path(__file__).parents[2]
BOUNDS = (
    "grace=6s",
    "retry_budget_ratio=0.2",
    "budget_window=10s",
    "budget_slack=64",
)
KEY = "k" * 20
_networks = itertools.count(1)


class Host(NamedTuple):
    name: str
    zone: str
    service: str
    ip: str

    def url(self, port: str) -> str:
        return f"http://{self.ip}:{PORTS[port]}"


def make_config(version: int = 1, **changes) -> dict:
    """Build a configuration with a keyed route per route type and an open route."""
    route = {
        "host": "a.example",
        "timeout": "2000ms",
        "target_latency": "1000ms",
        "attempts": 2,
        "priority": 1,
        "service": "permits",
        "public": False,
    }
    routes = [
        {**route, "name": "read", "path_prefix": "/read/", "route_type": "safe"},
        {**route, "name": "once", "path_prefix": "/once/", "route_type": "unsafe"},
        {
            **route,
            "name": "open",
            "path_prefix": "/open/",
            "route_type": "safe",
            "public": True,
        },
    ]
    config = {
        "version": f"r{version}",
        "routes": routes,
        "services": [{"name": "permits", "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": [
            {"name": "inn", "api_keys": [KEY], "rate_per_s": 200, "burst": 200}
        ],
    }
    return {**config, **changes}


def make_report(host: Host, born: int, sequence: int, state: str = "ready") -> dict:
    """Build the body of a report of the target beside a node.

    :param host: Its host.
    :param born: Start of the target, in milliseconds since 1970.
    :param sequence: Sequence number of the report.
    :param state: ``"ready"`` or ``"draining"``.
    """
    info = {"service": host.service, "version": "v1", "zone": host.zone, "slots": 3}
    status = {"state": state, "sequence": sequence, "cold": "0ms"}
    address = f"{host.ip}:{TARGET_PORT}"
    return {"address": address, "born": born, "info": info, "status": status}


class Site:
    """Context manager that owns the processes of one test."""

    def __init__(self, folder: Path, hosts=(("a", "permits"), ("b", "permits"))):
        self.folder = folder
        network = (os.getpid() * 7 + next(_networks)) % 250 + 1
        self.hosts = [
            Host(f"host-{i}", zone, service, f"127.{network}.{os.getpid() % 250}.{i}")
            for i, (zone, service) in enumerate(hosts, 1)
        ]
        self.store = ""
        self.stores_by_host: dict[str, str] = {}
        self.targets_by_host: dict[str, str] = {}
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self._ids = itertools.count(1)
        self.client = httpx.Client(timeout=10)

    def __enter__(self):
        self.store = f"127.0.0.1:{self._start_standin('platform_log', 'store')}"
        return self

    def __exit__(self, error_type, *_):
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()
            if process.stdout:
                process.stdout.close()
        self.client.close()
        logs = self.logs()
        if error_type is None and "internal error" in logs:
            raise AssertionError(logs[logs.index("internal error") :][:2000])

    def logs(self) -> str:
        return "".join(p.read_text() for p in sorted(self.folder.glob("*.log")))

    def _start_standin(self, module: str, name: str, *flags: str) -> int:
        command = [sys.executable, "-m", f"tests.standins.{module}", *flags]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            text=True,
        )
        self.processes_by_name[name] = process
        return json.loads(process.stdout.readline())["port"]

    def start(self, config: dict | None = None) -> None:
        """Put a configuration, start every host and wait until all are ready."""
        self.put_config(config or make_config())
        for host in self.hosts:
            self.start_target(host)
            self.start_node(host)
        for host in self.hosts:
            self.wait_ready(host)
        for host in self.hosts:
            wait_until(lambda host=host: self.n_members(host) == len(self.hosts))

    def n_members(self, host: Host) -> int:
        """Return the number of ready targets that a node reports in its metrics."""
        text = self.client.get(f"http://{host.ip}:{METRICS_PORT}/metrics").text
        (line,) = [x for x in text.splitlines() if 'kind="targets_ready"' in x]
        return int(float(line.rpartition(" ")[2]))

    def start_target(self, host: Host) -> None:
        flags = {
            "host": host.ip,
            "port": TARGET_PORT,
            "name": f"t-{host.name}",
            "service": host.service,
            "zone": host.zone,
            "control": f"{host.ip}:{PORTS['control']}",
            "told": self.targets_by_host.get(host.name, ""),
        }
        flags = [f"--{name}={value}" for name, value in flags.items()]
        self._start_standin("platform_target", f"t-{host.name}", *flags)

    def start_node(self, host: Host) -> None:
        settings = {
            "node": host.name,
            "zone": host.zone,
            "listen": {name: f"{host.ip}:{port}" for name, port in PORTS.items()},
            "app_addr": self.targets_by_host.get(host.name, f"{host.ip}:{TARGET_PORT}"),
            "service": host.service,
            "provider": {"address": self.stores_by_host.get(host.name, self.store)},
            "bounds": list(BOUNDS),
        }
        path = self.folder / f"{host.name}.json"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{host.name}.log"
        with log.open("a") as output:
            self.processes_by_name[host.name] = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "node.py")],
                stdout=output,
                stderr=output,
                env={**os.environ, "HEATHERSPUR_NODE_FILE": str(path)},
            )

    def put_config(self, config: dict) -> None:
        value = json.dumps(config).encode()
        record = bytes([len(b"config")]) + b"config" + value
        body = struct.pack(">I", len(record)) + record
        path = "/log-append?topic=keyed.op&part=0"
        self.client.post(f"http://{self.store}{path}", content=body)

    def wait_ready(self, host: Host) -> None:
        """Wait until a node is ready and answers a request with 200."""
        wait_until(lambda: self.is_ready(host))
        wait_until(lambda: self.ask(host, "/open/ready").status_code == 200)

    def is_ready(self, host: Host) -> bool:
        try:
            return self.client.get(host.url("readiness") + "/ready").status_code == 200
        except httpx.HTTPError:
            return False

    def ask(self, host: Host, path: str, method: str = "GET", **changes):
        """Send a request to the node of a host, as a caller on that host does."""
        fields = {
            "Host": "a.example",
            "Heatherspur-Attempt-Id": f"{next(self._ids):016x}",
            "Heatherspur-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
            **changes.pop("fields", {}),
        }
        return self.client.request(
            method, host.url("outbound") + path, headers=fields, **changes
        )

    def control(self, host: Host, **values) -> dict:
        """Set attributes of the target of a host; return what it received and ran."""
        url = f"http://{host.ip}:{TARGET_PORT}/standin"
        return self.client.put(url, json=values).json()

    def report(self, host: Host, body: dict, call: str = "heartbeat") -> int:
        """Send a report of the target of a host; return the status of the answer."""
        url = f"{host.url('control')}/instances/t-{host.name}/{call}"
        return self.client.post(url, json=body).status_code

    def restart_node(self, host: Host) -> None:
        """Kill the node of a host and start it again."""
        self.signal(host, signal.SIGKILL)
        self.processes_by_name[host.name].wait()
        self.start_node(host)

    def newest_keys(self, topic: str) -> set[str]:
        """Return the keys of a topic of the store."""
        url = f"http://{self.store}/log-newest?topic={topic}&part=0"
        return {item["key"] for item in self.client.get(url).json()["items"]}

    def store_faults(self, **values) -> None:
        self.client.put(f"http://{self.store}/faults", json=values)

    def signal(self, host: Host, number: int) -> None:
        self.processes_by_name[host.name].send_signal(number)

    def runs_by_id(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for host in self.hosts:
            for name, n_runs in self.control(host)["runs"].items():
                total[name] = total.get(name, 0) + n_runs
        return total


def wait_until(condition, timeout_s: float = 30.0) -> None:
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        try:
            if condition():
                return
        except httpx.HTTPError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {timeout_s} s: {condition}")
