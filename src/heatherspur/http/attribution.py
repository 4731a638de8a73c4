"""Decides which request of a connection a response belongs to.

A faulty target may repeat an earlier response on a connection that it keeps open. If
the repeated one is a refusal, it must not pass for the answer to the next request,
which the target runs. Responses are therefore matched by request id, and an id is
used once per connection, because a retry of a request has the id of the refused
attempt.
"""

from enum import Enum

__all__ = ["Attribution", "ConnectionHistory"]

# Ids are remembered for the life of a connection; this bounds their memory.
MAX_REQUESTS_PER_CONNECTION = 512


class Attribution(Enum):
    """Whether a response belongs to the current request of its connection."""

    OWN = "own"
    OTHER_REQUEST = "other-request"
    # The response has no id; it may answer an earlier request, also one of another
    # connection of the same target.
    UNPROVEN = "unproven"


class ConnectionHistory:
    """Ids of the requests that one connection has carried, the current one included."""

    def __init__(self) -> None:
        self._ids: set[bytes] = set()
        self._n_requests = 0
        self._current = b""

    def can_carry(self, request_id: bytes) -> bool:
        """Return whether the response to a request could be told from earlier ones.

        :param request_id: Id of the request; empty if it has none.
        """
        if not self._n_requests:
            return True
        is_new = bool(request_id) and request_id not in self._ids
        return is_new and self._n_requests < MAX_REQUESTS_PER_CONNECTION

    def start(self, request_id: bytes) -> None:
        """Record the request that the connection carries from now on.

        :param request_id: Id of the request; empty if it has none.
        """
        self._n_requests += 1
        self._current = request_id
        if request_id:
            self._ids.add(request_id)

    def attribute(self, response_id: bytes) -> Attribution:
        """Return whether a response belongs to the current request.

        :param response_id: Id that the response repeats; empty if it has none.
        """
        if response_id and response_id != self._current:
            return Attribution.OTHER_REQUEST
        is_first_without_id = not self._current and self._n_requests == 1
        if response_id or is_first_without_id:
            return Attribution.OWN
        return Attribution.UNPROVEN
