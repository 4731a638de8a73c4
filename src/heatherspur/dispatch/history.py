"""Stores the outcomes of requests for entries that lost the link to this node.

Connections between nodes may be reset or partitioned while non-idempotent requests run
at their targets. Without the stored outcome, each of them would end as unknown. A
request is only reported as not run if the history would contain it had it arrived.
"""

from typing import NamedTuple

from heatherspur.link import messages as m

__all__ = ["RequestHistory", "RequestKey"]

# Longer than the timeouts of the routes.
OUTCOME_RETENTION_S = 10.0
# Longer than the deadline of any caller.
KEY_RETENTION_S = 120.0
MAX_OUTCOMES = 1000
MAX_KEYS = 200_000


class RequestKey(NamedTuple):
    """Identifies a request across links.

    :param node: Node id of the entry.
    :param incarnation: Incarnation of the process of the entry.
    :param number: Number of the reservation.
    """

    node: str
    incarnation: str
    number: int


class _Entry(NamedTuple):
    """State of a request; the message is ``None`` while it runs."""

    message: m.Message | None
    at_s: float


class RequestHistory:
    """Non-idempotent requests that this process received."""

    def __init__(self) -> None:
        self._entries_by_key: dict[RequestKey, _Entry] = {}
        self._outcomes: dict[RequestKey, None] = {}
        self._has_evicted_key = False

    def start(self, name: RequestKey, now: float) -> bool:
        """Record the arrival of a request.

        :param name: Key of the request.
        :param now: Clock reading in seconds.
        :returns: Whether it may run; false if it was already received, or reported to
            its entry as not run.
        """
        if name in self._entries_by_key:
            return False
        if len(self._entries_by_key) >= MAX_KEYS:
            del self._entries_by_key[next(iter(self._entries_by_key))]
            self._has_evicted_key = True
        self._entries_by_key[name] = _Entry(None, now)
        return True

    def finish(self, name: RequestKey, message: m.Message, now: float) -> None:
        """Store the outcome of a request.

        :param name: Key of the request.
        :param message: Message that reports the outcome to the entry.
        :param now: Clock reading in seconds.
        """
        self._entries_by_key[name] = _Entry(message, now)
        self._outcomes[name] = None
        if len(self._outcomes) > MAX_OUTCOMES:
            self._drop_outcome(next(iter(self._outcomes)))

    def _drop_outcome(self, name: RequestKey) -> None:
        del self._outcomes[name]
        entry = self._entries_by_key.get(name)
        if entry is not None:
            lost = m.Failed(name.number, "outcome-forgotten")
            self._entries_by_key[name] = entry._replace(message=lost)

    def resolve(self, name: RequestKey, now: float) -> m.Message | None:
        """Return the outcome of a request, ``None`` while it runs.

        A request that has not arrived is recorded as not run, so that it is rejected
        if it arrives later.

        :param name: Key of the request.
        :param now: Clock reading in seconds.
        """
        entry = self._entries_by_key.get(name)
        if entry is not None:
            return entry.message
        if self._has_evicted_key:
            return m.Failed(name.number, "outcome-forgotten")
        self.start(name, now)
        message = m.NotRun(name.number, "link-lost", False)
        self.finish(name, message, now)
        return message

    def expire(self, now: float) -> None:
        """Remove outcomes and keys that no entry can request any more.

        :param now: Clock reading in seconds.
        """
        for name in list(self._outcomes):
            entry = self._entries_by_key.get(name)
            if entry is not None and now - entry.at_s < OUTCOME_RETENTION_S:
                break
            self._drop_outcome(name)
        for name, entry in list(self._entries_by_key.items()):
            if now - entry.at_s < KEY_RETENTION_S:
                break
            if entry.message is not None:
                del self._entries_by_key[name]
