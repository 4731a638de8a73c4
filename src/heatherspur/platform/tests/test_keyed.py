"""Records that a node writes to the store and reads from it."""

import json
import struct

from heatherspur.core import Address
from heatherspur.net.tests.builders import fake_connections
from heatherspur.platform import KeyedHub, KeyedRecord

TOPIC = "keyed.members"


def _make_hub():
    hub = KeyedHub(Address("10.0.0.5", 80), ("keyed.op", TOPIC))
    events = []
    hub.fire = lambda event, *_: events.append(event)
    return hub, fake_connections(hub), events


def _make_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def _newest(**changes) -> bytes:
    answer = {"items": [], "has_more": False, "end_offset": 0, **changes}
    return _make_response(json.dumps(answer).encode())


def test_records_of_one_topic_are_written_in_one_call():
    """A target's departure and the end of its membership take effect together."""
    hub, streams, events = _make_hub()
    records = (KeyedRecord("departure/h", b"x"), KeyedRecord("h", b""))
    hub._on_put_records(TOPIC, records)
    (stream,) = streams
    sent = bytes(stream.sent)
    assert sent.count(b"POST /log-append") == 1
    body = sent.partition(b"\r\n\r\n")[2]
    (length,) = struct.unpack_from(">I", body)
    assert body[4 + length + 4 :] == b"\x01h"
    assert not hub.idle
    stream.receive(_make_response(b'{"offset":0,"end_offset":2}'))
    assert hub.idle
    (event,) = [e for e in events if e.name == "records_written"]
    assert event.args == [TOPIC, records]


def test_records_of_a_neighbour_do_not_replace_the_first_read():
    """A neighbour may lack the newest records, among them the node's own."""
    hub, streams, _ = _make_hub()
    hub._on_tick(1.0)
    streams[0].receive(_newest())
    hub._on_tick(2.0)
    assert not hub.has_read_topics
    hub.advance(TOPIC, 7)
    assert b"GET /log-newest?topic=keyed.members" in bytes(streams[1].sent)
    assert not streams[1].closed
    streams[1].receive(_newest())
    assert hub.has_read_topics
