"""Declaration, reading and validation of settings.

Every subpackage declares its settings as a ``NamedTuple`` and a tuple of
:class:`Setting`, one per field. Flags take precedence over environment variables
(``HEATHERSPUR_`` and the name in capitals), which take precedence over the defaults.
"""

import ipaddress
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from heatherspur.core.errors import HeatherspurError

__all__ = [
    "Address",
    "Setting",
    "SettingsError",
    "address",
    "addresses",
    "count",
    "log_level",
    "optional_address",
    "parse_address",
    "read_settings",
    "seconds",
    "text",
]

ENVIRONMENT_PREFIX = "HEATHERSPUR_"
MAX_PORT = 65535
LOG_LEVELS = ("debug", "info", "warning", "error")

T = TypeVar("T")


class Address(NamedTuple):
    """TCP address with a numeric IP address.

    :param host: IPv4 or IPv6 address.
    :param port: Port; 0 lets the kernel choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class Setting(NamedTuple):
    """Declaration of one setting.

    :param name: Name of the field, the flag and, in capitals, the variable.
    :param parse: Converts text to the value; raises ``ValueError`` if it is invalid.
    :param default: Default as text, or ``None`` if a value is required.
    :param expects: Description of the valid values, with unit and range.
    :param description: Effect of the setting, in one sentence.
    """

    name: str
    parse: Callable[[str], Any]
    default: str | None
    expects: str
    description: str

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


class SettingsError(HeatherspurError):
    """One or more settings are invalid.

    :param problems: One sentence per setting: its name, value and expected values.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("read settings", "command line", "; ".join(problems))
        self.problems = problems


def parse_address(value: str) -> Address:
    """Parse ``IP:PORT``, with an IPv6 address in square brackets.

    :param value: The text.
    :returns: The address.
    :raises ValueError: If the text is not a numeric IP address with a port.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(value)
    number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if int(port) > MAX_PORT:
        raise ValueError(value)
    return Address(str(number), int(port))


def _parse_addresses(value: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in value.split(",") if part)


def _number_parser(
    convert: Callable[[str], float], low: float, high: float
) -> Callable[[str], float]:
    def parse(value: str) -> float:
        number = convert(value)
        if not math.isfinite(number) or not low <= number <= high:
            raise ValueError(value)
        return number

    return parse


def seconds(
    name: str, default: str | None, low: float, high: float, description: str
) -> Setting:
    """Declare a duration in seconds.

    :param name: Name of the setting; ends in ``_s``.
    :param default: Default as text.
    :param low: Minimum, in seconds.
    :param high: Maximum, in seconds.
    :param description: Effect of the setting.
    :returns: The setting.
    """
    expects = f"a number of seconds from {low:g} to {high:g}"
    return Setting(
        name, _number_parser(float, low, high), default, expects, description
    )


def count(name: str, default: str | None, low: int, high: int, desc: str) -> Setting:
    """Declare an integer.

    :param name: Name of the setting.
    :param default: Default as text.
    :param low: Minimum.
    :param high: Maximum.
    :param desc: Effect of the setting.
    :returns: The setting.
    """
    expects = f"a whole number from {low} to {high}"
    return Setting(name, _number_parser(int, low, high), default, expects, desc)


def address(name: str, default: str | None, description: str) -> Setting:
    """Declare an address.

    :param name: Name of the setting.
    :param default: Default as text.
    :param description: Effect of the setting.
    :returns: The setting.
    """
    expects = "an address such as 127.0.0.1:8080, by IP number"
    return Setting(name, parse_address, default, expects, description)


def optional_address(name: str, description: str) -> Setting:
    """Declare an optional address.

    :param name: Name of the setting.
    :param description: Effect of the setting.
    :returns: The setting; its value is a text, empty if the address is not set.
    """

    def parse(value: str) -> str:
        return str(parse_address(value)) if value else ""

    expects = "an address such as 127.0.0.1:8080, by IP number, or nothing"
    return Setting(name, parse, "", expects, description)


def addresses(name: str, default: str | None, description: str) -> Setting:
    """Declare a list of addresses, separated by commas.

    :param name: Name of the setting.
    :param default: Default as text.
    :param description: Effect of the setting.
    :returns: The setting.
    """
    expects = "addresses by IP number, separated by commas"
    return Setting(name, _parse_addresses, default, expects, description)


def text(
    name: str, default: str | None, description: str, min_length: int = 1
) -> Setting:
    """Declare a word of printable characters without spaces.

    :param name: Name of the setting.
    :param default: Default as text.
    :param description: Effect of the setting.
    :param min_length: Minimum number of characters.
    :returns: The setting.
    """

    def parse(value: str) -> str:
        has_space = any(character.isspace() for character in value)
        if len(value) < min_length or has_space or not value.isprintable():
            raise ValueError(value)
        return value

    expects = f"at least {min_length} printable characters without spaces"
    return Setting(name, parse, default, expects, description)


def log_level(name: str, default: str, description: str) -> Setting:
    """Declare a log level.

    :param name: Name of the setting.
    :param default: Default level.
    :param description: Effect of the setting.
    :returns: The setting.
    """

    def parse(value: str) -> str:
        if value.lower() not in LOG_LEVELS:
            raise ValueError(value)
        return value.lower()

    expects = "one of " + ", ".join(LOG_LEVELS)
    return Setting(name, parse, default, expects, description)


def _masked(setting: Setting, value: str) -> str:
    """Return the value for an error message; secrets are masked."""
    return "(hidden)" if "secret" in setting.name else repr(value)


def _invalid_settings(
    settings: Iterable[Setting], raw_values: Mapping[str, str | None]
) -> Iterator[str]:
    for setting in settings:
        value = raw_values[setting.name]
        flag = "--" + setting.name.replace("_", "-")
        if value is None:
            yield f"{flag} ({setting.variable}) is not set: expected {setting.expects}"
            continue
        try:
            setting.parse(value)
        except ValueError:
            shown = _masked(setting, value)
            yield f"{flag} ({setting.variable}) is {shown}: expected {setting.expects}"


def _unknown_flags(
    settings: Iterable[Setting], flags: Mapping[str, object]
) -> Iterator[str]:
    known = {setting.name for setting in settings}
    for name in flags:
        if name not in known:
            flag = "--" + name.replace("_", "-")
            yield f"{flag} is not a setting: see the settings reference"


def read_settings(
    kind: Callable[..., T],
    settings: tuple[Setting, ...],
    flags: Mapping[str, object],
    environment: Mapping[str, str],
) -> Result[T, SettingsError]:
    """Read and validate settings.

    :param kind: Callable that receives one keyword argument per setting, usually a
        ``NamedTuple``.
    :param settings: Declarations of the settings.
    :param flags: Values from the command line, by setting name.
    :param environment: Environment variables.
    :returns: The settings, or an error that lists every invalid one.
    """
    raw_values: dict[str, str | None] = {}
    for setting in settings:
        value = environment.get(setting.variable, setting.default)
        if setting.name in flags:
            value = str(flags[setting.name])
        raw_values[setting.name] = value
    problems = [
        *_unknown_flags(settings, flags),
        *_invalid_settings(settings, raw_values),
    ]
    if problems:
        return Err(SettingsError(tuple(problems)))
    return Ok(kind(**{s.name: s.parse(raw_values[s.name]) for s in settings}))
