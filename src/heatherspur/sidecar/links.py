"""Keeps links to exits; a link is opened when the first message needs it."""

import logging

from circuits import BaseComponent, handler

from heatherspur.core import now_s, parse_address
from heatherspur.dispatch.fleet import FleetView
from heatherspur.link import Link, LinkHub, LocalLink
from heatherspur.link import messages as m
from heatherspur.net import Keepalive
from heatherspur.node import events as node_events

__all__ = ["SidecarLinkHub", "SidecarLinks"]

logger = logging.getLogger("heatherspur.links")

# Twice the time in which a lost packet is sent again on a lossy link; a cut is
# noticed well before most objectives are over.
LINK_KEEPALIVE = Keepalive(idle_s=2, interval_s=1, n_probes=2, unacked_ms=1500)


class SidecarLinkHub(LinkHub):
    """Links that notice silent peers."""

    keepalive = LINK_KEEPALIVE


class SidecarLinks(BaseComponent):
    """Links by node.

    :param hub: Opens links.
    :param fleet: Gets word of nodes that answer or do not.
    """

    channel = "members"

    def __init__(self, hub: LinkHub, fleet: FleetView) -> None:
        super().__init__()
        self._hub = hub
        self._fleet = fleet
        self._links_by_node: dict[str, Link | LocalLink] = {}

    def open_local(self) -> None:
        """Open the link from this node to itself."""
        self._links_by_node[self._fleet.node_id] = self._hub.open_local()

    def send(self, node: str, message: m.Message) -> None:
        """Send a message to an exit.

        :param node: Node id of the exit.
        :param message: The message.
        """
        link = self._links_by_node.get(node)
        if link is None:
            link = self._hub.dial(parse_address(node))
            self._links_by_node[node] = link
        link.send(message)

    @handler("received", channel="*")
    def _on_received(self, link, messages):
        self._fleet.record_message(link.node, now_s())

    @handler("link_up", channel="*")
    def _on_link_up(self, link):
        if link.is_entry:
            self._fleet.mark_up(link.node)

    @handler("link_down", channel="*")
    def _on_link_down(self, link, reason):
        if not link.is_entry or self._links_by_node.get(link.node) is not link:
            return
        del self._links_by_node[link.node]
        self._fleet.mark_down(link.node, now_s())
        extra = {"node": link.node, "reason": reason}
        logger.warning("links: node lost", extra=extra)
        self.fire(node_events.node_lost(link.node), "entry")
