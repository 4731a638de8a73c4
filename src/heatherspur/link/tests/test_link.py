"""Encoding of link messages and the handshake of links."""

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherspur.link import Handshake, decode, encode
from heatherspur.link import messages as m

REPORT = m.TargetReport("t", "s", 3, 1, 0, "active", 2.5, 0.1, 0.0, 7)


def test_messages_round_trip():
    sent = [
        m.Heartbeat(1.5, 2.0, 3, 0.25, (REPORT, REPORT)),
        m.RequestHead(
            1,
            "i",
            1.0,
            "t",
            "s",
            4,
            "c",
            b"d",
            "GET",
            "/",
            ((b"a", b"b"),),
            9,
            True,
            False,
        ),  # fmt: skip
        m.Records((m.RecordItem(1, "x"),)),
    ]
    assert decode(encode(sent), "peer").ok_value == sent


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=100))
def test_arbitrary_bytes_decode_or_return_error(data):
    assert decode(data, "peer").is_ok() or decode(data, "peer").err_value.reason


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.integers(0, 60), st.text(max_size=5), st.binary(max_size=5),
            st.booleans(), st.floats(allow_nan=False), st.lists(st.integers()),
        ),
        max_size=14,
    )
)  # fmt: skip
def test_arbitrary_array_decodes_or_returns_error(parts):
    result = decode(cbor2.dumps([parts]), "peer")
    if result.is_ok():
        assert encode(result.ok_value)


def _make_handshakes(secret_a="secret-one", secret_b="secret-one"):
    return (
        Handshake(secret_a, "a", "1", "z", True),
        Handshake(secret_b, "b", "2", "z", False),
    )


def test_both_sides_accept_the_shared_secret():
    entry, exit_ = _make_handshakes()
    assert entry.receive_hello(exit_.hello) is None
    assert exit_.receive_hello(entry.hello) is None
    assert exit_.verify_proof(entry.proof()) is None
    assert entry.verify_proof(exit_.proof()) is None


def test_wrong_secret_reflected_and_early_proofs_are_refused():
    entry, exit_ = _make_handshakes(secret_b="secret-two")
    entry.receive_hello(exit_.hello)
    exit_.receive_hello(entry.hello)
    assert exit_.verify_proof(entry.proof()) == "wrong fleet secret"
    assert entry.verify_proof(entry.proof()) == "wrong fleet secret"
    assert _make_handshakes()[0].verify_proof(m.Proof(b"")) == "proof before hello"
