"""Records of another writer in the topic of members."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherspur.dispatch.departures import Departure
from heatherspur.dispatch.tests.builders import make_member
from heatherspur.sidecar.records import (
    decode_departure,
    decode_member,
    departure_key,
    encode_departure,
    encode_member,
    is_departure_key,
)
from heatherspur.sidecar.tests.builders import ODD_MEMBERS

MEMBER = make_member(2)
DEPARTURE = Departure("t1", 1000, 4, True)
ODD_VALUES = st.one_of(
    st.none(),
    st.integers(),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=5),
    st.lists(st.integers(), max_size=3),
)


def test_records_are_decoded_as_encoded():
    assert decode_member("host-2", encode_member(MEMBER)) == MEMBER
    key = departure_key("host-2")
    assert is_departure_key(key)
    assert decode_departure(key, encode_departure(DEPARTURE)) == DEPARTURE


@pytest.mark.parametrize("value", ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_record_names_no_member(value):
    """Fields of another type were converted, and failed where they were used."""
    assert decode_member("another", value) is None
    assert decode_departure("departure/another", value) is None


@given(st.data())
def test_record_with_another_field_is_valid_or_refused(data):
    """The valid ones have the types of a member, so that every use of them works."""
    fields = list(MEMBER)
    fields[data.draw(st.integers(0, len(fields) - 1))] = data.draw(ODD_VALUES)
    member = decode_member("another", cbor2.dumps(fields))
    types = (str, str, str, str, int, int, bool)
    assert member is None or tuple(map(type, member)) == types


@given(st.binary(max_size=40), st.integers(0, 60), st.integers(0, 60))
def test_damaged_record_is_decoded_or_refused(inserted, start, length):
    for value in (encode_member(MEMBER), encode_departure(DEPARTURE)):
        damaged = value[:start] + inserted + value[start + length :]
        decode_member("another", damaged)
        decode_departure("departure/another", damaged)
