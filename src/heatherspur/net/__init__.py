"""Non-blocking TCP streams on the circuits event loop."""

from heatherspur.net.clockwork import Ticker, tick
from heatherspur.net.stream import Keepalive, Stream, StreamHub

__all__ = ["Keepalive", "Stream", "StreamHub", "Ticker", "tick"]
