"""Tests of requests from an HTTP client through two node processes to targets."""

import socket

import httpx
import pytest

from tests.standins.fleet import CATALOGUE, Fleet, wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with Fleet(folder, extra_flags=("--head-timeout-s=1",)) as running:
        running.start_nodes_with_targets()
        running.apply()
        running.wait_ready(n_targets=2)
        running.key = running.grant("guides")
        yield running


def _fields(fleet, **more):
    return {"heatherspur-key": fleet.key, **more}


def _url(fleet, path, node=0):
    return f"http://{fleet.nodes[node].callers}{path}"


def _send_raw(fleet, data: bytes) -> bytes:
    """Send bytes to the first node; return everything until it closes."""
    host, _, port = fleet.nodes[0].callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR) if data.endswith(b"END") else None
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    return received


def test_get_and_post_through_both_nodes(fleet):
    fleet.wait_warm()  # a target in slow start gets no requests while another is active
    targets = set()
    with httpx.Client() as client:
        for number in range(20):
            url = _url(fleet, f"/permits/{number}", number % 2)
            answer = client.get(url, headers=_fields(fleet)).json()
            assert answer["path"] == f"/permits/{number}"
            assert answer["customer"] == "guides"
            targets.add(answer["target"])
        body = bytes(200_000)
        answer = client.post(
            _url(fleet, "/permits"), headers=_fields(fleet), content=body
        )
        assert answer.json()["n_bytes"] == len(body)
    assert targets == {"target-1", "target-2"}


def test_large_response_arrives_complete(fleet):
    with httpx.Client() as client:
        answer = client.get(_url(fleet, "/big/2510000"), headers=_fields(fleet))
    assert answer.content == bytes(i % 251 for i in range(251)) * 10000


def test_pipelined_requests_get_their_own_responses(fleet):
    request = "GET /permits/{} HTTP/1.1\r\nhost: x\r\nheatherspur-key: {}\r\n{}\r\n"
    first = request.format("first", fleet.key, "")
    second = request.format("second", fleet.key, "connection: close\r\n")
    received = _send_raw(fleet, (first + second).encode())
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b"/permits/first") < received.index(b"/permits/second")


def test_apply_and_grant_take_effect_without_a_restart(fleet):
    fleet.apply(CATALOGUE + '[[customer]]\nid="club"\nowner="c"\nrate=9\nburst=9\n')
    key = fleet.grant("club")
    with httpx.Client() as client:
        for node in (0, 1):
            fields = {"heatherspur-key": key}
            answer = client.get(_url(fleet, "/permits", node), headers=fields)
            assert answer.json()["customer"] == "club"


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("content-length: -3\r\n", 400),
        ("content-length: 1\r\ncontent-length: 1\r\n", 400),
        ("content-length: 3\r\ntransfer-encoding: chunked\r\n", 400),
        ("transfer-encoding: gzip\r\n", 501),
        ("x-long: " + "a" * 20000 + "\r\n", 431),
        ("heatherspur-key: " + "b" * 30 + "\r\n", 400),
        ("no colon here\r\n", 400),
        ("content-length: 99999999\r\n", 413),
    ],
)
def test_malformed_request_refused_with_its_status(fleet, head, status):
    text = f"POST /permits HTTP/1.1\r\nhost: x\r\nheatherspur-key: {fleet.key}\r\n"
    received = _send_raw(fleet, (text + head + "connection: close\r\n\r\n").encode())
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"heatherspur-outcome: not-run" in received.lower()
    assert b"Traceback" not in received


def test_slow_request_head_times_out(fleet):
    host, _, port = fleet.nodes[0].callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(b"GET /permits HTTP/1.1\r\nhost: x\r\n")
        received = b""
        while chunk := sock.recv(4096):
            received += chunk
    assert received.startswith(b"HTTP/1.1 408 ")


def test_head_response_has_no_body_and_keeps_the_connection(fleet):
    with httpx.Client() as client:
        answer = client.head(_url(fleet, "/permits"), headers=_fields(fleet))
        assert (answer.status_code, answer.content) == (200, b"")
        assert client.get(_url(fleet, "/permits"), headers=_fields(fleet)).json()
        missing = client.head(_url(fleet, "/nowhere"))
        assert missing.headers["heatherspur-outcome"] == "not-run"


def test_catalogue_with_an_invalid_entry_refused(fleet):
    path = fleet.folder / "broken.toml"
    path.write_text('[[customer]]\nid="x"\nowner="x"\nrate=-1\nburst=1\n')
    result = fleet.command("catalogue", "apply", str(path), check=False)
    assert result.returncode == 1
    assert "rate" in result.stderr
    assert "Traceback" not in result.stderr


def test_link_with_an_invalid_first_message_is_closed(fleet):
    host, _, port = fleet.nodes[0].link.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(
            b"GET /link HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\n"
            b"connection: upgrade\r\nsec-websocket-version: 13\r\n"
            b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        assert b" 101 " in sock.recv(4096)
        masked = bytes(byte ^ 1 for byte in b"\xff\xff")
        sock.sendall(b"\x82\x82\x01\x01\x01\x01" + masked)
        received = b""
        while chunk := sock.recv(4096):
            received += chunk
    assert b"not CBOR" in received
    with httpx.Client() as client:
        assert client.get(_url(fleet, "/news")).status_code == 200


def test_withdrawn_key_refused_on_an_open_connection(fleet):
    key = fleet.grant("guides")
    with httpx.Client() as client:
        fields = {"heatherspur-key": key}
        assert client.get(_url(fleet, "/permits"), headers=fields).status_code == 200
        fleet.command("key", "withdraw", key)

        def refused():
            answer = client.get(_url(fleet, "/permits"), headers=fields)
            return answer.status_code == 401

        wait_until(refused, timeout_s=4)
