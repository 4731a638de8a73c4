"""Malformed HTTP input, and protection of caller keys against leaks to targets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from heatherspur.http import (
    BodyChunk,
    CallerProtocol,
    Fault,
    MessageEnd,
    RequestHead,
    TargetProtocol,
    end_to_end_response_fields,
    parse_caller_fields,
)

KEY = b"hsk_0123456789abcdef0123456789"


def parse(data: bytes, size: int = 10**6):
    protocol = CallerProtocol(16384)
    found = []
    for start in range(0, len(data), size):
        found += protocol.receive(data[start : start + size])
    return found


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=400), st.integers(1, 50))
def test_arbitrary_bytes_yield_events_without_exception(data, size):
    for event in parse(b"GET / HTTP/1.1\r\nhost: x\r\n" + data, size):
        assert isinstance(event, RequestHead | BodyChunk | MessageEnd | Fault)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 60))
def test_request_is_parsed_equally_from_any_chunks(size):
    data = b"POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
    head, *rest = parse(data, size)
    assert head.method == "POST"
    assert b"".join(e.data for e in rest if isinstance(e, BodyChunk)) == b"hello"
    assert isinstance(rest[-1], MessageEnd)


def test_pipelined_request_is_deferred_until_next_request():
    protocol = CallerProtocol(16384)
    one = b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\n"
    first = list(protocol.receive(one + one.replace(b"/1", b"/2")))
    assert [type(e) for e in first] == [RequestHead, MessageEnd]
    protocol.send_head(200, ((b"content-length", b"0"),))
    protocol.send_end()
    second = list(protocol.next_request())
    assert second[0].target == "/2"


def test_pipelined_request_with_ambiguous_length_is_refused():
    protocol = CallerProtocol(16384)
    one = b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\n"
    two = b"POST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
    two += b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
    list(protocol.receive(one + two))
    protocol.send_head(200, ((b"content-length", b"0"),))
    protocol.send_end()
    assert isinstance(next(iter(protocol.next_request())), Fault)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(["query", "field", "percent", "double", "upper", "name"]),
    st.text("abcxyz-", min_size=1, max_size=8),
)
def test_key_outside_its_field_is_refused(place, name):
    path, fields = "/p", [(b"heatherspur-key", KEY)]
    encoded = "".join(f"%{byte:02X}" for byte in KEY)
    if place == "query":
        path += f"?{name}={KEY.decode()}"
    elif place == "percent":
        path += f"?{name}={encoded}"
    elif place == "double":
        path += f"?{name}={encoded.replace('%', '%25')}"
    elif place == "upper":
        path += f"/{KEY.decode().upper()}"
    elif place == "name":
        fields.append((KEY.lower(), b"x"))
    else:
        fields.append((name.encode(), b"Bearer " + KEY))
    assert parse_caller_fields(path, tuple(fields)).is_err()


def test_project_and_hop_by_hop_fields_are_not_forwarded():
    fields = (
        (b"heatherspur-key", KEY),
        (b"heatherspur-customer", b"other"),
        (b"connection", b"x-one, keep-alive"),
        (b"x-one", b"1"),
        (b"te", b"trailers"),
        (b"x-two", b"2"),
    )
    parsed_fields = parse_caller_fields("http://host/p?q=1", fields).ok_value
    assert parsed_fields.fields == ((b"x-two", b"2"),)
    assert parsed_fields.path == "/p?q=1"
    assert end_to_end_response_fields(((b"heatherspur-outcome", b"answered"),)) == ()


def test_truncated_response_is_fault():
    protocol = TargetProtocol()
    protocol.send_request("GET", "/", ((b"host", b"x"),))
    protocol.send_end()
    list(protocol.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort"))
    assert isinstance(list(protocol.receive(b""))[-1], Fault)
