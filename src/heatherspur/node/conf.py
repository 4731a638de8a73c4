"""Settings of a node: its own and those of the subpackages."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Result

from heatherspur.core import (
    Address,
    Setting,
    SettingsError,
    address,
    count,
    log_level,
    optional_address,
    read_settings,
    text,
)
from heatherspur.exchange import EXCHANGE_SETTINGS, ExchangeSettings
from heatherspur.http import HTTP_SETTINGS, HttpSettings
from heatherspur.limits import LIMIT_SETTINGS, LimitSettings
from heatherspur.link import LINK_SETTINGS, LinkSettings
from heatherspur.membership import MEMBERSHIP_SETTINGS, MembershipSettings
from heatherspur.platform import PLATFORM_SETTINGS, PlatformSettings
from heatherspur.routing import ROUTING_SETTINGS, RoutingSettings

__all__ = ["NODE_SETTINGS", "NodeSettings", "read_node_settings"]


class NodeSettings(NamedTuple):
    """Settings of one node.

    :param zone: Availability zone of the node.
    :param callers: Address on which the node listens for callers.
    :param link: Address on which the node listens for other nodes.
    :param advertise: Address at which other nodes reach ``link``, if it differs; it
        is also the node's id.
    :param ops: Address for operators and for the announcements of targets.
    :param log_level: Least severe level that is logged.
    :param trace: File to which the inputs and outputs of the decision cores are
        recorded; empty for none.
    :param seed: Seed of random choices; 0 for a random seed.
    :param http: Settings of connections to callers.
    :param links: Settings of links between nodes.
    :param platform: Settings of the platform's log.
    :param membership: Settings of membership.
    :param limits: Settings of rate limits.
    :param routing: Settings of routing and ejection.
    :param exchange: Settings of exchanges.
    """

    zone: str
    callers: Address
    link: Address
    advertise: str
    ops: Address
    log_level: str
    trace: str
    seed: int
    http: HttpSettings
    links: LinkSettings
    platform: PlatformSettings
    membership: MembershipSettings
    limits: LimitSettings
    routing: RoutingSettings
    exchange: ExchangeSettings


OWN_SETTINGS: tuple[Setting, ...] = (
    text("zone", None, "Availability zone of the node."),
    address("callers", None, "Address for callers."),
    address("link", None, "Address for other nodes."),
    optional_address(
        "advertise",
        "Address under which other nodes reach --link, if another; the node's id.",
    ),
    address("ops", None, "Address for operators and for the announcements of targets."),
    log_level("log_level", "info", "Least severe level that is logged."),
    text(
        "trace",
        "",
        "File that records what the decision cores take and give; empty for none.",
        min_length=0,
    ),
    count("seed", "0", 0, 2**31, "Seed of random choices; 0 draws one."),
)

SECTIONS: dict[str, tuple[type, tuple[Setting, ...]]] = {
    "http": (HttpSettings, HTTP_SETTINGS),
    "links": (LinkSettings, LINK_SETTINGS),
    "platform": (PlatformSettings, PLATFORM_SETTINGS),
    "membership": (MembershipSettings, MEMBERSHIP_SETTINGS),
    "limits": (LimitSettings, LIMIT_SETTINGS),
    "routing": (RoutingSettings, ROUTING_SETTINGS),
    "exchange": (ExchangeSettings, EXCHANGE_SETTINGS),
}

NODE_SETTINGS: tuple[Setting, ...] = OWN_SETTINGS + tuple(
    setting for _, settings in SECTIONS.values() for setting in settings
)


def _assemble(**values: Any) -> NodeSettings:
    sections = {
        name: kind(**{s.name: values.pop(s.name) for s in settings})
        for name, (kind, settings) in SECTIONS.items()
    }
    return NodeSettings(**values, **sections)


def read_node_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Result[NodeSettings, SettingsError]:
    """Read and validate all settings of a node.

    :param flags: Values given on the command line, by name.
    :param environment: Environment variables.
    :returns: The settings, or an error with every problem found.
    """
    return read_settings(_assemble, NODE_SETTINGS, flags, environment)
