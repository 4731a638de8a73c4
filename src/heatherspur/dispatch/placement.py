"""Chooses the exits to ask for a slot, and the grant to use.

Load pattern: bytes between zones are dear and targets of the own zone are mostly
enough, but a zone can run out of slots while others have some; some targets are slow
or have just turned gray.
"""

import random

from heatherspur.dispatch.conf import MAX_RESERVATIONS, N_REMOTE_PER_ROUND
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.dispatch.pending import PendingRequest

__all__ = ["best_grant", "choose_members"]

# Targets of one service differ in speed by less; single requests take five times the
# usual, and a target is only passed over while another has a slot.
SLOW_RATIO = 2.0
SLOW_MARGIN_MS = 100


def choose_members(
    pending: PendingRequest, fleet: FleetView, rng: random.Random, now: float
) -> list[Member]:
    """Return the members to ask next: the own zone first, then a few others.

    :param pending: The request.
    :param fleet: Members and their reachability.
    :param rng: Source of the order.
    :param now: Clock reading in seconds.
    """
    excluded = pending.tried_nodes | pending.asked_nodes
    members = [
        member
        for member in fleet.candidates(pending.request.service, now)
        if member.node not in excluded
    ]
    rng.shuffle(members)
    room = MAX_RESERVATIONS - len(pending.nodes_by_number)
    near = [member for member in members if member.zone == fleet.zone]
    if near:
        return near[:room]
    return members[: min(room, N_REMOTE_PER_ROUND)]


def best_grant(pending: PendingRequest) -> int:
    """Return the number of the granted reservation to use.

    Targets that are slow compared with the others are passed over. Each moment since
    its last good answer may have turned a target gray. Of the rest a request that may
    run once only therefore takes the target that was proven last, and one that can be
    repeated the target that was proven first: it finds gray targets at little cost.

    :param pending: The request; it has a grant.
    """
    grants = pending.grants_by_number
    fastest_ms = min(grant.run_ms for grant in grants.values())
    limit_ms = fastest_ms * SLOW_RATIO + SLOW_MARGIN_MS
    usual = [n for n, grant in grants.items() if grant.run_ms <= limit_ms]
    may_test = pending.request.route.idempotent and not pending.n_handed
    if may_test and pending.request.route.max_targets > 1:
        return max(usual, key=lambda number: grants[number].proven_ms)
    return min(usual, key=lambda number: grants[number].proven_ms)
