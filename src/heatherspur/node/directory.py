"""Links to other nodes, by node; written by the members task, read by all."""

from heatherspur.link import Link, LocalLink

__all__ = ["LinkDirectory"]


class LinkDirectory:
    """Open links.

    :ivar entry_links_by_node: Links that this node opened, and the one to itself.
    :ivar exit_links: Links that other nodes opened, and the end of the own one.
    """

    def __init__(self) -> None:
        self.entry_links_by_node: dict[str, Link | LocalLink] = {}
        self.exit_links: set[Link | LocalLink] = set()
