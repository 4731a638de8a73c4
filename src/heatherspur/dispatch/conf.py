"""Constants of the dispatch subpackage.

Durations are in seconds. Values that depend on the deployment are derived from the
route or from the platform's settings instead.
"""

__all__ = [
    "NEXT_ROUND_AFTER_S",
    "REPLY_COLLECT_S",
    "ISOLATED_AFTER_S",
    "ISOLATED_UNREACHABLE_SHARE",
    "FALLBACK_SHARE",
    "TIMEOUT_PROBE_INTERVAL_S",
    "GRANT_TIMEOUT_S",
    "MAX_RESERVATIONS",
    "MAX_QUARANTINE_S",
    "MAX_FINAL_DECLINES",
    "MAX_PROBE_INTERVAL_S",
    "MAX_TOKEN_WAIT_S",
    "OWNER_HANDOVER_S",
    "OWNER_MEMORY_S",
    "UNREACHABLE_MEMORY_S",
    "MOVE_INTERVAL_S",
    "NO_TARGET_WAIT_S",
    "MAX_CONSECUTIVE_TIMEOUTS",
    "N_REMOTE_PER_ROUND",
    "PROBE_INTERVAL_GROWTH",
    "INITIAL_PROBE_INTERVAL_S",
    "QUOTA_TIMEOUT_S",
    "RECOVERY_SUCCESSES",
    "RESUME_INTERVAL_S",
    "SLOW_NODE_S",
]

# An unused grant keeps a slot idle. The timeout allows for two round trips between
# zones and a lost packet.
GRANT_TIMEOUT_S = 0.4
# Callers accept a wait of up to an eighth of the objective, which is 0.12 s or more.
NEXT_ROUND_AFTER_S = 0.06
# Half of the targets of a service. More reservations cost bandwidth, but no slots.
MAX_RESERVATIONS = 8
N_REMOTE_PER_ROUND = 2
# The cost of each further request between zones exceeds its expected benefit.
MAX_FINAL_DECLINES = 4
# A failed probe costs a retry, and the retry budget allows a few per second and
# service. Gray failures last two to five seconds; the maximum interval is a fraction of
# that.
INITIAL_PROBE_INTERVAL_S = 0.3
PROBE_INTERVAL_GROWTH = 1.6
MAX_PROBE_INTERVAL_S = 1.0
# The round trip within a zone is below 1 ms; nodes that reply later count as slow.
REPLY_COLLECT_S = 0.02
SLOW_NODE_S = 1.0
# Gray failures last a few seconds. Afterwards a service without idempotent requests,
# which can't probe, must be able to use its target again.
MAX_QUARANTINE_S = 3.0
# A target that fails 85 of 100 requests passes two consecutive probes in 2 of 100
# cases.
RECOVERY_SUCCESSES = 2
# The round trip between zones is below 20 ms; a lost packet adds 200 ms.
QUOTA_TIMEOUT_S = 0.12
# Callers accept a wait of up to an eighth of the objective, which is 0.12 s or more.
MAX_TOKEN_WAIT_S = 0.12
# Records of the members reach all nodes within about 1.5 s. Until then, some nodes
# still ask the former owner of a limit.
OWNER_HANDOVER_S = 2.0
# A node that owned a limit within this time resumes without a handover, so that a
# customer is not refused while its owner alternates.
OWNER_MEMORY_S = 10.0
# Slots become free within a fraction of the run time, which is half a second or more.
MOVE_INTERVAL_S = 0.3
# Killed nodes restart in about a second; callers don't retry after a refusal.
NO_TARGET_WAIT_S = 1.2
# One request in a hundred takes five times the usual run time; two consecutive ones
# are very unlikely.
MAX_CONSECUTIVE_TIMEOUTS = 2
# Periods of slow responses last a few seconds.
TIMEOUT_PROBE_INTERVAL_S = 2.0
# Part of its share of a rate that a node admits without owners. The owners notice only
# after a second or two that they can't reach it, and grant the whole limit until then;
# with half of the nodes isolated, the excess stays below a tenth of the limit.
FALLBACK_SHARE = 0.2
# A node that failed to answer within this time may still be unreachable: the backoff
# between connection attempts grows to 2 s, and an attempt takes 1 s.
UNREACHABLE_MEMORY_S = 4.0
# A node that can't reach this share of the other nodes and receives no messages is
# isolated itself: under load each node receives many messages per second.
ISOLATED_UNREACHABLE_SHARE = 0.2
ISOLATED_AFTER_S = 1.0
# After a reset, a link is reconnected immediately; after a partition, the interval
# allows a few attempts within the timeout of most routes.
RESUME_INTERVAL_S = 0.4
