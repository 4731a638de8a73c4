"""Planned stops of one node: what it has accepted is answered, and truthfully.

Real nodes, store and targets. Callers use open connections until the process is gone.
"""

import concurrent.futures
import json
import signal
import socket
import time

import pytest

from tests.standins.site import KEY, PORTS, Site, make_config, wait_until

HOSTS = (("a", "permits"), ("a", "permits"))
GRACE_S = 6.0
LARGE_ANSWER_BYTES = 8_000_000
READ_BYTES_PER_S = 1_000_000
READ_STEP_S = 0.02
RECEIVE_BUFFER_BYTES = 65_536


@pytest.fixture
def site(tmp_path):
    with Site(tmp_path, HOSTS) as running:
        running.start(make_config(1, routes=_long_routes()))
        yield running


def _long_routes() -> list[dict]:
    routes = make_config()["routes"]
    return [{**route, "timeout": "15s", "target_latency": "10s"} for route in routes]


def test_requests_that_outlast_the_grace_get_a_final_answer(site):
    """Their connections were closed without one."""
    host = site.hosts[0]
    for other in site.hosts:
        site.control(other, mode="hang")
    fields = {"Heatherspur-Deadline-Ms": "14000"}
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        asked = [
            pool.submit(site.ask, host, f"/once/{i}", "POST", fields=fields, timeout=9)
            for i in range(3)
        ]
        wait_until(lambda: sum(site.control(h)["most_running"] for h in site.hosts) > 2)
        site.signal(host, signal.SIGTERM)
        started_at_s = time.monotonic()
        statuses = [answer.result().status_code for answer in asked]
    assert statuses == [502] * 3
    assert time.monotonic() - started_at_s < GRACE_S
    assert site.processes_by_name[host.name].wait(timeout=GRACE_S) == 0


def _read_slowly(sock: socket.socket) -> bytes:
    data, start_s = b"", time.monotonic()
    while True:
        due_s = start_s + len(data) / READ_BYTES_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        piece = sock.recv(int(READ_BYTES_PER_S * READ_STEP_S))
        if not piece:
            return data
        data += piece


def test_stopping_node_sends_large_answers_to_slow_readers(site):
    """The process ended while its send buffers held the rest of the answers."""
    host = site.hosts[0]
    for other in site.hosts:
        site.control(other, answer_bytes=LARGE_ANSWER_BYTES)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(GRACE_S)
        sock.connect((host.ip, PORTS["outbound"]))
        sock.sendall(
            b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"Heatherspur-Attempt-Id: 00000000000000f1\r\n"
            b"Heatherspur-Deadline-Ms: 14000\r\nConnection: close\r\n"
            b"Authorization: Bearer " + KEY.encode() + b"\r\n\r\n"
        )
        wait_until(lambda: '"entry: answered"' in site.logs() or _has_sent(site))
        site.signal(host, signal.SIGTERM)
        data = _read_slowly(sock)
    body = data.partition(b"\r\n\r\n")[2]
    assert len(body) == LARGE_ANSWER_BYTES
    assert site.processes_by_name[host.name].wait(timeout=GRACE_S) == 0


def _has_sent(site) -> bool:
    lines = (line for line in site.logs().splitlines() if "exit: answered" in line)
    return any(json.loads(line)["request_id"] == "00000000000000f1" for line in lines)
