"""Lookup of the service and route for a path, by longest prefix."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from urllib.parse import unquote

from heatherspur.catalogue.entries import Route, ServiceEntry

__all__ = ["RouteIndex", "RouteMatch"]


class RouteMatch(NamedTuple):
    """The route that serves a path.

    :param service: Id of the service.
    :param route: The route.
    """

    service: str
    route: Route


def _prefixes(path: str) -> Iterator[str]:
    """Yield the whole-segment prefixes of a path, longest first."""
    while path:
        yield path
        path = path[: path.rfind("/")]
    yield "/"


class RouteIndex:
    """Longest-prefix match over the routes of all services.

    A lookup costs one dictionary access per path segment, independent of the number
    of routes.
    """

    def __init__(self) -> None:
        self._matches_by_prefix: dict[str, RouteMatch] = {}

    def owner_of(self, prefix: str) -> str | None:
        """Return the id of the service that owns a prefix, or ``None``."""
        match = self._matches_by_prefix.get(prefix)
        return match.service if match else None

    def replace(self, old: Iterable[Route], new: ServiceEntry | None) -> None:
        """Replace the routes of a service.

        :param old: Previous routes of the service.
        :param new: New entry of the service, or ``None`` if it was withdrawn.
        """
        for route in old:
            self._matches_by_prefix.pop(route.prefix, None)
        if new is not None:
            for route in new.routes:
                self._matches_by_prefix[route.prefix] = RouteMatch(new.id, route)

    def find(self, target: str) -> RouteMatch | None:
        """Find the route for a request target.

        :param target: Request target in origin form.
        :returns: The match with the longest prefix, or ``None`` if there is none or
            the path contains dot segments, which targets might resolve differently.
        """
        path = target.partition("?")[0]
        segments = unquote(path).split("/")
        if "." in segments or ".." in segments:
            return None
        matches = map(self._matches_by_prefix.get, _prefixes(path.rstrip("/")))
        return next(filter(None, matches), None)
