"""Errors and fixed figures of the dispatch subpackage.

Durations are in seconds. Where a figure depends on the deployment it is derived from
the route or from the platform's settings instead.
"""

__all__ = [
    "ASK_MORE_AFTER_S",
    "COLLECT_S",
    "CUT_OFF_AFTER_S",
    "CUT_OFF_PART",
    "FALLBACK_SHARE",
    "FUTILE_PROBE_GAP_S",
    "GRANT_TIMEOUT_S",
    "MAX_ASKED",
    "MAX_DOUBT_S",
    "MAX_FINAL_DECLINES",
    "MAX_PROBE_GAP_S",
    "MAX_TOKEN_WAIT_S",
    "MISSING_S",
    "NO_TARGET_WAIT_S",
    "N_FUTILE",
    "N_REMOTE_A_ROUND",
    "PROBE_GAP_GROWTH",
    "PROBE_GAP_S",
    "QUOTA_TIMEOUT_S",
    "RECOVERY_SUCCESSES",
    "RESUME_GAP_S",
    "SLOW_S",
]

# A grant that is not used holds a slot idle; two round trips between zones and a
# lost packet fit into this time.
GRANT_TIMEOUT_S = 0.4
# Waiting costs nothing up to an eighth of the objective, which is 0.12 s or more.
ASK_MORE_AFTER_S = 0.06
# Half of the targets of today's services; more asks cost bytes, not slots.
MAX_ASKED = 8
N_REMOTE_A_ROUND = 2
# Each further question between zones costs more than it is likely to bring.
MAX_FINAL_DECLINES = 4
# A failed probe costs a repeat; the fleet's budget allows a few a second and service.
# Gray spells last two to five seconds, so the gap grows to a part of that.
PROBE_GAP_S = 0.3
PROBE_GAP_GROWTH = 1.6
MAX_PROBE_GAP_S = 1.0
# Round trip in a zone is below 1 ms; whoever does not answer in this time is slow.
COLLECT_S = 0.02
SLOW_S = 1.0
# Gray spells last some seconds; afterwards even a service without idempotent
# requests must get its target back.
MAX_DOUBT_S = 3.0
# A target that fails 85 in 100 passes two probes in a row with 2 in 100.
RECOVERY_SUCCESSES = 2
# Round trip between zones is below 20 ms; a lost packet costs 200 ms more.
QUOTA_TIMEOUT_S = 0.12
# Waiting costs nothing up to an eighth of the objective, 0.12 s or more; a new owner's
# bucket starts empty and gets the first tokens of most customers in this time.
MAX_TOKEN_WAIT_S = 0.12
# Killed nodes are back in about a second; callers don't come back after a refusal.
NO_TARGET_WAIT_S = 1.2
# One request in a hundred takes five times as long as usual, two in a row hardly ever.
N_FUTILE = 2
# Slow spells last some seconds.
FUTILE_PROBE_GAP_S = 2.0
# Nodes that are cut off admit from half of their part of a rate, which is about what
# they are asked for; an owner leaves the whole part of a node that it misses.
FALLBACK_SHARE = 0.5
# A node that did not answer this long ago may still be cut off: the pause between two
# dials grows to 2 s, and a dial takes 1 s.
MISSING_S = 4.0
# A node that misses this part of the others and hears nobody is cut off itself: under
# load each node hears others many times a second.
CUT_OFF_PART = 0.2
CUT_OFF_AFTER_S = 1.0
# A reset link is dialled again at once; a cut one is tried a few times within the
# timeout of most routes.
RESUME_GAP_S = 0.4
