"""Non-blocking TCP streams on the circuits event loop."""

from heatherspur.net.clockwork import Ticker, tick
from heatherspur.net.stream import Stream, StreamHub

__all__ = ["Stream", "StreamHub", "Ticker", "tick"]
