"""Decoding of configurations, and of well-formed and malformed target reports."""

import logging

import pytest

from heatherspur.platform.tests.builders import (
    MISSING,
    make_configuration,
    make_report,
)
from heatherspur.platform.wire import decode_table, decode_target_report


def _decode(data: bytes, gone: bool = False):
    return decode_target_report("t1", data, gone, "10.0.0.1:5000")


def test_report_is_decoded():
    report = _decode(make_report()).ok_value
    assert (report.target, report.service, report.slots, report.ready) == (
        "t1",
        "permits",
        3,
        True,
    )
    assert (report.started_at_ms, report.sequence) == (1700000000000, 4)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("born",), "1700000000000"),
        (("born",), 1.5),
        (("born",), True),
        (("born",), -1),
        (("address",), "nowhere"),
        (("address",), MISSING),
        (("info", "zone"), MISSING),
        (("info", "version"), MISSING),
        (("address",), 7),
        (("info",), MISSING),
        (("info",), [1]),
        (("info", "service"), MISSING),
        (("info", "service"), ""),
        (("info", "service"), 5),
        (("info", "slots"), "3"),
        (("info", "slots"), 0),
        (("info", "slots"), None),
        (("status",), "ready"),
        (("status", "state"), "asleep"),
        (("status", "state"), MISSING),
        (("status", "sequence"), "4"),
        (("status", "sequence"), MISSING),
        (("status", "cold"), 5),
        (("status", "cold"), "9" * 400 + "s"),
        (("status", "sequence"), 2**60),
        (("born",), 2**62),
        (("address",), "10.0.0.1:70000"),
        (("address",), "10.0.0.1:0"),
        (("address",), [[["10.0.0.1:80"]]]),
        (("info", "slots"), 10**6),
    ],
)
def test_report_with_invalid_field_is_refused(path, value):
    decoded = _decode(make_report(*path, value=value))
    assert decoded.is_err()
    assert decoded.err_value.peer == "10.0.0.1:5000"


@pytest.mark.parametrize("name", [b'"born":1700000000000', b'"slots":3'])
def test_report_with_a_number_of_many_digits_is_refused(name):
    number = name.partition(b":")[0] + b":1" + b"0" * 400
    assert _decode(make_report().replace(name, number)).is_err()


@pytest.mark.parametrize(
    "data", [b"{", b"[]", b'"x"', b"\xff", b"null", b'{"born":' + b"[" * 30_000]
)
def test_malformed_report_is_refused(data):
    assert _decode(data).is_err()


def test_deregistration_may_have_empty_body():
    report = _decode(b"", gone=True).ok_value
    assert (report.gone, report.ready, report.started_at_ms) == (True, False, 0)


def _is_idempotent(kind) -> bool:
    table = decode_table(make_configuration(route_type=kind), "keyed.op").ok_value
    return table.find("a.example", "/a/1").idempotent


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("safe", True), ("download", True), ("unsafe", False)]
)
def test_route_kind_decides_what_may_run_twice(kind, idempotent):
    """Failed downloads were never retried, since only "safe" was recognized."""
    assert _is_idempotent(kind) is idempotent


@pytest.mark.parametrize("kind", ["stream", "", 7, ["safe"], None])
def test_unknown_route_kind_runs_once_only_and_is_logged(kind, caplog):
    with caplog.at_level(logging.WARNING, "heatherspur.wire"):
        assert not _is_idempotent(kind)
    (record,) = caplog.records
    assert (record.route, record.kind) == ("r-1", str(kind))


@pytest.mark.parametrize(
    "changes",
    [
        {"name": 7},
        {"path_prefix": 7},
        {"service": ["permits"]},
        {"traffic_split": [{"service": "permits", "weight": "inf"}]},
        {"traffic_split": [{"service": "permits", "weight": -1}]},
        {"attempts": 1e300},
        {"attempts": "inf"},
        {"timeout": "9" * 400 + "s"},
    ],
)
def test_configuration_with_a_field_of_another_type_is_refused(changes):
    """It was taken, and failed at the requests of the route."""
    assert decode_table(make_configuration(**changes), "keyed.op").is_err()
