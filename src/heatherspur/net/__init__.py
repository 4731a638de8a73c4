"""Non-blocking TCP streams and periodic ticks on the circuits event loop."""

from heatherspur.net.probe import is_refused
from heatherspur.net.stream import Keepalive, Stream, StreamHub
from heatherspur.net.ticker import Ticker, tick

__all__ = ["Keepalive", "Stream", "StreamHub", "Ticker", "is_refused", "tick"]
