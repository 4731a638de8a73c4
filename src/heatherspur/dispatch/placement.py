"""Selects the exits for reservations and the grant to use.

Traffic between zones is expensive and the targets of the local zone usually suffice,
but a zone may run out of slots while others have free ones. Some targets are slow or
have recently developed a gray failure.
"""

import random

from heatherspur.dispatch.conf import MAX_RESERVATIONS, N_REMOTE_PER_ROUND
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.dispatch.pending import PendingRequest

__all__ = ["best_grant", "choose_members"]

# The run times of healthy targets of a service differ by less, but single requests take
# five times the usual. A slow target is skipped only while another one has a slot.
SLOW_RATIO = 2.0
SLOW_MARGIN_MS = 100


def choose_members(
    pending: PendingRequest, fleet: FleetView, rng: random.Random, now: float
) -> list[Member]:
    """Return the members for the next reservations: local zone first, then others.

    :param pending: The request.
    :param fleet: Members and their reachability.
    :param rng: Random source of the order.
    :param now: Clock reading in seconds.
    """
    excluded = pending.tried_nodes | pending.reserved_nodes
    members = [
        member
        for member in fleet.candidates(pending.request.service, now)
        if member.node not in excluded
    ]
    rng.shuffle(members)
    n_free = MAX_RESERVATIONS - len(pending.nodes_by_number)
    local = [member for member in members if member.zone == fleet.zone]
    if local:
        return local[:n_free]
    return members[: min(n_free, N_REMOTE_PER_ROUND)]


def best_grant(pending: PendingRequest) -> int:
    """Return the number of the granted reservation to use.

    Targets that are slow compared with the others are skipped. The longer ago the last
    success of a target, the more likely it has a gray failure. A request that may run
    only once therefore uses the target with the most recent success. One that can be
    retried uses the target with the least recent success, which detects gray failures
    at a low cost.

    :param pending: The request; must have at least one grant.
    """
    grants = pending.grants_by_number
    fastest_ms = min(grant.run_ms for grant in grants.values())
    limit_ms = fastest_ms * SLOW_RATIO + SLOW_MARGIN_MS
    fast_enough = [n for n, grant in grants.items() if grant.run_ms <= limit_ms]
    can_probe = pending.request.route.idempotent and not pending.n_attempts
    if can_probe and pending.request.route.max_targets > 1:
        return max(fast_enough, key=lambda number: grants[number].proven_ms)
    return min(fast_enough, key=lambda number: grants[number].proven_ms)
