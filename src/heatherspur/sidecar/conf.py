"""Fixed figures of a node's stop, in seconds after the stop signal."""

__all__ = ["MIN_STOP_S", "STOP_ADMITTING_AFTER_S", "STOP_SHARE"]

# The platform stops sending callers after two unanswered questions, one a second. Until
# then the node takes requests, and its target goes on working for other nodes.
STOP_ADMITTING_AFTER_S = 2.5
# A request that was sent for a slot just before that arrives within two ways between
# zones and a packet that is sent again, and is told that it did not run.
MIN_STOP_S = STOP_ADMITTING_AFTER_S + 0.3
# Part of the time to the kill; the rest is left for the answers to arrive.
STOP_SHARE = 5 / 6
