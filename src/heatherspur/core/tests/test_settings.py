from pathlib import Path

import pytest

from heatherspur.core import Address
from heatherspur.node import NODE_SETTINGS, read_node_settings

GOOD = {
    "zone": "a",
    "callers": "127.0.0.1:1",
    "link": "[::1]:2",
    "ops": "127.0.0.1:3",
    "log": "127.0.0.1:4",
}
SECRET = {"HEATHERSPUR_FLEET_SECRET": "a-secret-of-the-fleet"}


def test_flags_take_precedence_over_variables_and_defaults():
    variables = {**SECRET, "HEATHERSPUR_ZONE": "b", "HEATHERSPUR_HEARTBEAT_S": "2"}
    settings = read_node_settings(GOOD, variables).ok_value
    assert settings.zone == "a"
    assert settings.membership.heartbeat_s == 2.0
    assert settings.link == Address("::1", 2)
    assert settings.limits.limit_shares == 3


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("callers", "localhost:1"),
        ("callers", "127.0.0.1:70000"),
        ("heartbeat_s", "nan"),
        ("heartbeat_s", "0"),
        ("limit_shares", "1.5"),
        ("zone", ""),
        ("log_level", "loud"),
        ("peers", "x"),
        ("advertise", "host:1"),
    ],
)
def test_an_invalid_value_is_reported_with_the_expected_values(name, value):
    error = read_node_settings({**GOOD, name: value}, SECRET).err_value
    assert len(error.problems) == 1
    assert "--" + name.replace("_", "-") in error.problems[0]
    assert repr(value) in error.problems[0]
    assert "expected" in error.problems[0]


def test_every_invalid_setting_is_reported_and_secrets_are_masked():
    error = read_node_settings({"fleet_secret": "short", "unknown": 1}, {}).err_value
    text = "\n".join(error.problems)
    assert "--unknown is not a setting" in text
    assert "--zone" in text
    assert "short" not in text


def test_every_setting_has_a_description():
    for setting in NODE_SETTINGS:
        assert setting.description.endswith(".")
        assert setting.expects


def test_the_reference_lists_every_setting():
    reference = Path(__file__).parents[4] / "docs" / "settings.md"
    text = reference.read_text("utf-8")
    for setting in NODE_SETTINGS:
        assert f"({setting.variable})" in text
        assert setting.description in text
        assert setting.expects in text
