"""Fixed figures of the feed subpackage, in seconds unless stated otherwise."""

__all__ = [
    "REQUEST_INTERVAL_S",
    "HEARTBEAT_INTERVAL_S",
    "CATCH_UP_TIMEOUT_S",
    "MAX_FED_NODES",
    "MAX_REFRESH_INTERVAL_S",
    "FEEDER_EXCLUSION_S",
    "FEEDER_TIMEOUT_S",
]

# Nodes fed by one node; bounds its messages to 80 a second.
MAX_FED_NODES = 32
HEARTBEAT_INTERVAL_S = 0.4
# Two beats and a half; with a read it stays below the bound on configuration, 2 s.
FEEDER_TIMEOUT_S = 1.0
# A feeder that has just started learns of the nodes that it feeds within this time; one
# that stays silent is passed over for a while, so that the next one takes its place.
FEEDER_EXCLUSION_S = 5.0
# A node without store and feeder asks neighbours in turn; the third answer at the
# latest comes within the bound on configuration.
REQUEST_INTERVAL_S = 0.4
# Records that a node has heard of arrive within two ways between zones; later ones
# are stuck.
CATCH_UP_TIMEOUT_S = 0.3
# A store that forgot its history answers for some seconds with what was true before.
MAX_REFRESH_INTERVAL_S = 2.4
