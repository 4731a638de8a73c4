"""Remembers what became of requests, for entries that lost the link to this node.

Load pattern: connections between nodes are reset or cut while requests that may run
once only are at their targets. Without a memory each of them ends as unknown. What
the memory says must be true: "not run" only for a request that it would know of.
"""

from typing import NamedTuple

from heatherspur.link import messages as m

__all__ = ["RequestHistory", "RequestKey"]

# Longer than the timeouts of today's routes.
KEEP_OUTCOME_S = 10.0
# Longer than any caller waits.
KEEP_NAME_S = 120.0
MAX_OUTCOMES = 1000
MAX_NAMES = 200_000


class RequestKey(NamedTuple):
    """A request by the process that sent it.

    :param node: Node id of the entry.
    :param incarnation: Incarnation of the entry's process.
    :param number: Number of the reservation.
    """

    node: str
    incarnation: str
    number: int


class _Entry(NamedTuple):
    """What is known of a request; no message while it runs."""

    message: m.Message | None
    at_s: float


class RequestHistory:
    """Requests that this process got and that may run once only."""

    def __init__(self) -> None:
        self._entries_by_name: dict[RequestKey, _Entry] = {}
        self._outcomes: dict[RequestKey, None] = {}
        self._forgot_early = False

    def start(self, name: RequestKey, now: float) -> bool:
        """Note that a request arrived.

        :param name: The request.
        :param now: Clock reading in seconds.
        :returns: Whether it may run; not if its entry was told that it did not.
        """
        if name in self._entries_by_name:
            return False
        if len(self._entries_by_name) >= MAX_NAMES:
            del self._entries_by_name[next(iter(self._entries_by_name))]
            self._forgot_early = True
        self._entries_by_name[name] = _Entry(None, now)
        return True

    def finish(self, name: RequestKey, message: m.Message, now: float) -> None:
        """Keep the outcome of a request.

        :param name: The request.
        :param message: What its entry is told.
        :param now: Clock reading in seconds.
        """
        self._entries_by_name[name] = _Entry(message, now)
        self._outcomes[name] = None
        if len(self._outcomes) > MAX_OUTCOMES:
            self._drop_outcome(next(iter(self._outcomes)))

    def _drop_outcome(self, name: RequestKey) -> None:
        del self._outcomes[name]
        entry = self._entries_by_name.get(name)
        if entry is not None:
            lost = m.Failed(name.number, "outcome-forgotten")
            self._entries_by_name[name] = entry._replace(message=lost)

    def resolve(self, name: RequestKey, now: float) -> m.Message | None:
        """Return what became of a request, ``None`` while it runs.

        One that never arrived is barred: it must not run when it arrives later.

        :param name: The request.
        :param now: Clock reading in seconds.
        """
        entry = self._entries_by_name.get(name)
        if entry is not None:
            return entry.message
        if self._forgot_early:
            return m.Failed(name.number, "outcome-forgotten")
        self.start(name, now)
        message = m.NotRun(name.number, "link-lost", False)
        self.finish(name, message, now)
        return message

    def expire(self, now: float) -> None:
        """Forget what is too old for anybody to ask.

        :param now: Clock reading in seconds.
        """
        for name in list(self._outcomes):
            entry = self._entries_by_name.get(name)
            if entry is not None and now - entry.at_s < KEEP_OUTCOME_S:
                break
            self._drop_outcome(name)
        for name, entry in list(self._entries_by_name.items()):
            if now - entry.at_s < KEEP_NAME_S:
                break
            if entry.message is not None:
                del self._entries_by_name[name]
