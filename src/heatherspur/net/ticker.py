"""Periodic ticks for components that manage deadlines.

``circuits.Timer`` uses the wall clock, which can step; leases require a monotonic
clock.
"""

from circuits import BaseComponent, Event, handler

from heatherspur.core import now_s

__all__ = ["Ticker", "tick"]


class tick(Event):  # noqa: N801 - circuits names events in lower case
    """The tick interval has elapsed.

    :param now: Clock reading in seconds.
    """


class Ticker(BaseComponent):
    """Fires :class:`tick` on all channels at a fixed interval.

    :param interval_s: Interval in seconds.
    """

    channel = "ticker"

    def __init__(self, interval_s: float) -> None:
        super().__init__()
        self._interval_s = interval_s
        self._next_at_s = now_s() + interval_s

    @handler("generate_events")
    def _on_generate_events(self, event):
        now = now_s()
        if now >= self._next_at_s:
            self._next_at_s = now + self._interval_s
            self.fire(tick(now), "*")
            event.reduce_time_left(0)
        else:
            event.reduce_time_left(self._next_at_s - now)
