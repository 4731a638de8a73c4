"""Fixed figures of the feed subpackage, in seconds unless stated otherwise."""

__all__ = [
    "ASK_GAP_S",
    "BEAT_S",
    "CATCH_UP_S",
    "MAX_FED",
    "MAX_REFRESH_GAP_S",
    "PASSED_OVER_S",
    "SILENT_S",
]

# Nodes fed by one node; bounds its messages to 80 a second.
MAX_FED = 32
BEAT_S = 0.4
# Two beats and a half; with a read it stays below the bound on configuration, 2 s.
SILENT_S = 1.0
# A feeder that has just started learns of the nodes that it feeds within this time; one
# that stays silent is passed over for a while, so that the next one takes its place.
PASSED_OVER_S = 5.0
# A node without store and feeder asks neighbours in turn; the third answer at the
# latest comes within the bound on configuration.
ASK_GAP_S = 0.4
# Records that a node has heard of arrive within two ways between zones; later ones
# are stuck.
CATCH_UP_S = 0.3
# A store that forgot its history answers for some seconds with what was true before.
MAX_REFRESH_GAP_S = 2.4
