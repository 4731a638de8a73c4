"""Links to exits; each is opened when the first message is sent over it."""

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

# The limit on unacknowledged data is twice the retransmission time on a lossy link; a
# network partition is detected well before most latency objectives expire.
LINK_KEEPALIVE = Keepalive(idle_s=2, interval_s=1, n_probes=2, unacked_ms=1500)


class SidecarLinkHub(LinkHub):
    """Link hub that detects silent peers by TCP keepalive."""

    keepalive = LINK_KEEPALIVE


class SidecarLinks(BaseComponent):
    """Links to exits by node, and the reachability that they show.

    :param hub: Hub that opens the links.
    :param fleet: Fleet view, updated when nodes send messages, connect or disconnect.
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
        """Send a message to an exit, and open a link to it if there is none.

        :param node: Node id of the exit.
        :param message: Message to send.
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
        logger.warning("links: link to node lost", extra=extra)
        self.fire(node_events.node_lost(link.node), "entry")
