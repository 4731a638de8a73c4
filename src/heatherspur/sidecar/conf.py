"""Constants of a node's graceful shutdown, in seconds after the stop signal."""

__all__ = [
    "MIN_STOP_S",
    "SEND_GRACE_FRACTION",
    "STOP_ADMITTING_AFTER_S",
    "STOP_GRACE_FRACTION",
]

# The platform stops routing callers to a node after two failed readiness probes, sent
# once a second. Until then the node admits requests, and its target also serves the
# requests of other nodes.
STOP_ADMITTING_AFTER_S = 2.5
# A request sent for a granted slot just before that time arrives within two one-way
# delays between zones plus one retransmission, and is answered as not run.
MIN_STOP_S = STOP_ADMITTING_AFTER_S + 0.3
# Fractions of the grace period before the kill: requests without an answer get a final
# one after the first; answers that are not sent by the second are cut.
STOP_GRACE_FRACTION = 5 / 6
SEND_GRACE_FRACTION = 11 / 12
