"""Constants of the feed subpackage, in seconds unless stated otherwise."""

__all__ = [
    "CATCH_UP_TIMEOUT_S",
    "FEEDER_EXCLUSION_S",
    "FEEDER_TIMEOUT_S",
    "HEARTBEAT_INTERVAL_S",
    "MAX_FED_NODES",
    "MAX_REFRESH_INTERVAL_S",
    "IDLE_READS_PER_S",
    "MAX_READ_WAIT_S",
    "MIN_READ_WAIT_S",
    "REQUEST_INTERVAL_S",
]

# Maximum number of nodes per feeder; limits its messages to 80 per second.
MAX_FED_NODES = 32
HEARTBEAT_INTERVAL_S = 0.4
# Wait of a long poll for the configuration. A reader that silently lost the store
# notices only when its read times out. The fewer readers there are, the more likely all
# of them have lost it while other nodes have not, so that nobody can tell the others.
# The wait therefore follows from the idle reads of all readers together.
IDLE_READS_PER_S = 4.0
MIN_READ_WAIT_S = 0.75
MAX_READ_WAIT_S = 3.0
# Two and a half heartbeat intervals. Together with a read of the store this stays below
# the bound for the propagation of a configuration, 2 s.
FEEDER_TIMEOUT_S = 1.0
# Time for which a silent feeder is excluded, so that the next one replaces it. A feeder
# that has just started discovers the nodes that it feeds within this time.
FEEDER_EXCLUSION_S = 5.0
# A node without store and feeder requests records from its neighbours one by one. An
# answer, at the latest the third, arrives within the bound for configurations.
REQUEST_INTERVAL_S = 0.4
# A node whose records lag behind the known end of the topic receives the missing ones
# within two one-way delays between zones; after this time the read counts as stuck.
CATCH_UP_TIMEOUT_S = 0.3
# Maximum of the backoff between refreshes. A store that lost its history answers with
# outdated records for some seconds.
MAX_REFRESH_INTERVAL_S = 2.4
