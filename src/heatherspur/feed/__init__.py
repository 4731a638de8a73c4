"""Passes the store's records on inside an availability zone.

One node of each zone reads the store; the others get its records over links of the
zone, which cost nothing, and read the store themselves whenever that stops.
"""

from heatherspur.feed.monitor import FeedMonitor
from heatherspur.feed.plan import FeedPlan
from heatherspur.feed.records import TopicRecords

__all__ = ["FeedPlan", "FeedMonitor", "TopicRecords"]
