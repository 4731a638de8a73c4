"""Distribution of the store's records within an availability zone.

One node per zone, the feeder, reads the store and forwards the records to the other
nodes of the zone over links within the zone, which cost nothing. A node that receives
no records from its feeder reads the store itself.
"""

from heatherspur.feed.monitor import FeedMonitor
from heatherspur.feed.plan import FeedPlan
from heatherspur.feed.records import TopicRecords

__all__ = ["FeedMonitor", "FeedPlan", "TopicRecords"]
