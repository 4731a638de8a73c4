"""Planned stops of one node: what it has accepted is answered, and truthfully.

Real nodes, store and targets. Callers use open connections until the process is gone.
"""

import concurrent.futures
import json
import signal
import socket
import time

import httpx
import pytest

from tests.standins.site import KEY, PORTS, Site, make_config, wait_until

HOSTS = (("a", "permits"), ("a", "permits"))
GRACE_S = 6.0
# Requests sent later than this after the signal have to be answered in any case.
LATEST_SENT_S = 3.0
# A request whose last byte arrived earlier than this before the end is answered.
LOSS_SLACK_S = 0.2
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


def _ask_until_gone(site, process, number: int) -> list[tuple[float, str, int | None]]:
    """Send requests over one kept connection after the other until the process ends.

    :returns: Time sent, id and status of each request; ``None`` for no whole answer.
    """
    host, results = site.hosts[0], []
    with httpx.Client(timeout=15) as client:
        i = 0
        while process.poll() is None:
            i += 1
            request_id = f"e{number:03x}{i:012x}"
            kind, method = (("read", "GET"), ("once", "POST"))[i % 2]
            fields = {
                "Host": "a.example",
                "Heatherspur-Attempt-Id": request_id,
                "Heatherspur-Deadline-Ms": "10000",
                "Authorization": f"Bearer {KEY}",
            }
            sent_at_s, status = time.monotonic(), None
            try:
                url = host.url("outbound") + f"/{kind}/{i}"
                status = client.request(method, url, headers=fields).status_code
            except httpx.ConnectError:
                continue
            except httpx.HTTPError:
                pass
            results.append((sent_at_s, request_id, status))
            time.sleep(0.02)
    return results


@pytest.mark.parametrize("service_s", [0.05, 0.6, 1.8])
def test_requests_late_in_the_grace_are_answered(site, service_s):
    """Requests taken late in the grace were cut at its end, without an answer."""
    for other in site.hosts:
        site.control(other, service_s=service_s)
    process = site.processes_by_name[site.hosts[0].name]
    with concurrent.futures.ThreadPoolExecutor(5) as pool:
        callers = [pool.submit(_ask_until_gone, site, process, i) for i in range(5)]
        time.sleep(0.5)
        stopped_at_s = time.monotonic()
        site.signal(site.hosts[0], signal.SIGTERM)
        assert process.wait(timeout=GRACE_S) == 0
        ended_at_s = time.monotonic()
        results = [result for caller in callers for result in caller.result()]
    runs = site.runs_by_id()
    assert any(sent_at_s > stopped_at_s for sent_at_s, _, _ in results)
    for sent_at_s, request_id, status in results:
        case = (sent_at_s - stopped_at_s, request_id, status, runs.get(request_id))
        if status is None:
            assert not runs.get(request_id), case
            assert sent_at_s > ended_at_s - LOSS_SLACK_S, case
        elif status == 503:
            assert not runs.get(request_id), case
        else:
            assert status == 200, case
        if sent_at_s > stopped_at_s + LATEST_SENT_S:
            assert not runs.get(request_id), case


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
