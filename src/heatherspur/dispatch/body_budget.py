"""Memory for the bodies of requests at one node.

Load pattern: many callers upload large bodies at the same time, more than the memory of
a host holds. Bodies are held until the final answer. Those that exceed the budget are
refused before anything has run, so that the requests in progress are served.
"""

__all__ = ["BodyBudget", "body_limit_bytes"]

# Interpreter, modules, links and metrics.
BASE_MEMORY_BYTES = 80_000_000
# A body is held as received, as a message, as its encoded frame and in a send buffer.
COPIES = 5
# The other half of the memory is for the requests that run at the local target.
ENTRY_SHARE = 0.5
# Small bodies have a part of their own, so that large ones can't keep them out.
SMALL_BODY_BYTES = 65_536
SMALL_BODIES_SHARE = 0.25
MIN_SMALL_BODIES_BYTES = 2_000_000


def body_limit_bytes(memory_bytes: int) -> int:
    """Return the size of all bodies that a node may hold for its callers, in bytes.

    :param memory_bytes: Memory that the process may use, in bytes.
    """
    free_bytes = max(0, memory_bytes - BASE_MEMORY_BYTES)
    return int(free_bytes * ENTRY_SHARE / COPIES)


class BodyBudget:
    """Bytes of bodies that are held, by exchange.

    A large body is accepted at any size while there is no other one.

    :param limit_bytes: Maximum size of all bodies, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        small_bytes = int(limit_bytes * SMALL_BODIES_SHARE)
        self._large_limit_bytes = limit_bytes - small_bytes
        self._small_limit_bytes = max(MIN_SMALL_BODIES_BYTES, small_bytes)
        self._small_by_exchange: dict[int, int] = {}
        self._large_by_exchange: dict[int, int] = {}
        self._n_small_bytes = 0
        self._n_large_bytes = 0

    @property
    def n_held(self) -> int:
        """Size of all bodies, in bytes."""
        return self._n_small_bytes + self._n_large_bytes

    def hold(self, exchange: int, n_bytes: int) -> bool:
        """Add received bytes to a body.

        :param exchange: Id of the exchange.
        :param n_bytes: Number of bytes.
        :returns: Whether they fit in; if not, the body has to be released.
        """
        small_bytes = self._small_by_exchange.get(exchange, 0) + n_bytes
        if exchange not in self._large_by_exchange and small_bytes <= SMALL_BODY_BYTES:
            self._small_by_exchange[exchange] = small_bytes
            self._n_small_bytes += n_bytes
            return self._n_small_bytes <= self._small_limit_bytes
        moved_bytes = self._small_by_exchange.pop(exchange, 0)
        self._n_small_bytes -= moved_bytes
        self._n_large_bytes += moved_bytes + n_bytes
        held_bytes = self._large_by_exchange.get(exchange, 0)
        self._large_by_exchange[exchange] = held_bytes + moved_bytes + n_bytes
        is_alone = len(self._large_by_exchange) == 1
        return is_alone or self._n_large_bytes <= self._large_limit_bytes

    def release(self, exchange: int) -> None:
        """Release the body of an exchange, if it holds one.

        :param exchange: Id of the exchange.
        """
        self._n_small_bytes -= self._small_by_exchange.pop(exchange, 0)
        self._n_large_bytes -= self._large_by_exchange.pop(exchange, 0)
