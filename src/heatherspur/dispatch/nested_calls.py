"""Attributes errors of a target to the calls that it made itself.

While a service sheds, the targets that call it answer with errors although they are
sound. Without this distinction, most targets of the calling service become doubtful at
the same time, and its remaining targets are overloaded.
"""

__all__ = ["NestedCalls"]


class NestedCalls:
    """Failures of the calls that the target beside this node made."""

    def __init__(self) -> None:
        self._open_exchanges: set[int] = set()
        self._failed_at_s = float("-inf")

    def start(self, exchange: int) -> None:
        """Record a call of the target.

        :param exchange: Id of its exchange.
        """
        self._open_exchanges.add(exchange)

    def finish(self, exchange: int, is_success: bool, now: float) -> None:
        """Record the end of an exchange; those that are no calls are ignored.

        :param exchange: Id of the exchange.
        :param is_success: Whether it was answered with success.
        :param now: Clock reading in seconds.
        """
        if exchange in self._open_exchanges:
            self._open_exchanges.remove(exchange)
            if not is_success:
                self._failed_at_s = now

    def cancel(self, exchange: int) -> None:
        """Record that the target gave up a call.

        :param exchange: Id of its exchange.
        """
        self._open_exchanges.discard(exchange)

    def explain_error(self, started_at_s: float) -> bool:
        """Return whether a failed call may be the cause of an error of the target.

        :param started_at_s: Clock reading at which the request with the error began.
        """
        return self._failed_at_s >= started_at_s
