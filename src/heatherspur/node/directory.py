"""Directory of links to other nodes; the members task writes it, all tasks read it."""

from heatherspur.link import Link, LocalLink

__all__ = ["LinkDirectory"]


class LinkDirectory:
    """Open links of one node.

    :ivar entry_links_by_node: Links that this node opened, and its local link.
    :ivar exit_links: Links that other nodes opened, and the exit end of the local link.
    """

    def __init__(self) -> None:
        self.entry_links_by_node: dict[str, Link | LocalLink] = {}
        self.exit_links: set[Link | LocalLink] = set()
