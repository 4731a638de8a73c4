"""Distributed rate limits: enforces each customer's rate and burst over all nodes.

One customer may send many times its rate through all nodes at once. Each of a few
nodes owns a fixed part of the customer's limit (:mod:`~.quota_owners`); the others
request one token per request from an owner, first from that of their own availability
zone, then from the others. A request is refused only if no owner has a token that is
due soon, since most callers don't retry after a refusal.

A new owner starts with an empty bucket and waits until all nodes know it; a former
owner keeps its bucket without refilling it, so that a change of owner grants no second
burst, even if the owner alternates. A restarted owner does not wait, since no other
node has replaced it. A node that reaches no owner admits requests from its own small
share, and the owners reserve the shares of unreachable nodes.
"""

import itertools
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heatherspur.dispatch.conf import (
    FALLBACK_SHARE,
    MAX_TOKEN_WAIT_S,
    OWNER_HANDOVER_S,
    OWNER_MEMORY_S,
    QUOTA_TIMEOUT_S,
)
from heatherspur.dispatch.quota_owners import QuotaOwners, QuotaPart
from heatherspur.dispatch.types import Customer
from heatherspur.exchange import SendTo
from heatherspur.limits import TokenBucket, WindowedBucket
from heatherspur.link import messages as m

__all__ = ["Admitted", "OverLimit", "QuotaClient", "QuotaOwner"]

SHARE = 0
MIN_BURST = 1.0
# Owners that can't reach any node keep about the share of one node in a small fleet.
MIN_KEPT_SHARE = 0.03
# An owner that did not answer is skipped for about the duration of a restart.
SKIP_OWNER_S = 1.0
# Waits of owners that are remembered before those that have elapsed are removed.
MAX_KNOWN_WAITS = 1024
# Longest retry advice while the bucket of a new owner is still empty.
MAX_RETRY_AFTER_S = 5.0


class Admitted(NamedTuple):
    """The request is admitted; a token was spent on it.

    :param exchange: Id of the exchange.
    """

    exchange: int


class OverLimit(NamedTuple):
    """The request is refused, since its customer has no tokens left.

    :param exchange: Id of the exchange.
    :param retry_after_s: Expected time until the next token, in seconds.
    """

    exchange: int
    retry_after_s: float


class QuotaOwner:
    """Token buckets for the parts of limits that this node owns or has owned.

    :param owners: Owners of all parts.
    """

    def __init__(self, owners: QuotaOwners) -> None:
        self._owners = owners
        self._customers_by_name: dict[str, Customer] = {}
        self._buckets_by_name: dict[str, WindowedBucket] = {}
        self._parts_by_name: dict[str, QuotaPart] = {}
        self._left_at_s_by_name: dict[str, float] = {}
        self._kept_share = 1.0

    def set_unreachable_share(self, part: float, now: float) -> None:
        """Reserve the shares of unreachable nodes, which admit from them on their own.

        :param part: Share of nodes that recently failed to answer, from 0 to 1.
        :param now: Clock reading in seconds.
        """
        kept_share = max(MIN_KEPT_SHARE, 1 - part)
        if kept_share == self._kept_share:
            return
        self._kept_share = kept_share
        for name in self._parts_by_name:
            self._resize(name, now)

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the customers of the newest configuration.

        :param customers: All customers.
        :param now: Clock reading in seconds.
        """
        self._owners.clear()
        limited = (customer for customer in customers if customer.rate > 0)
        self._customers_by_name = {customer.name: customer for customer in limited}
        for name in self._buckets_by_name.keys() - self._customers_by_name.keys():
            del self._buckets_by_name[name]
            self._left_at_s_by_name.pop(name, None)
        self.update_ownership(now, has_former_owners=False)

    def update_ownership(self, now: float, has_former_owners: bool = True) -> None:
        """Follow a change of the owners or the customers.

        :param now: Clock reading in seconds.
        :param has_former_owners: Whether other nodes may have owned the parts that this
            node owns from now on; it then waits until all nodes know it.
        """
        delay_s = OWNER_HANDOVER_S if has_former_owners else 0.0
        former_parts, self._parts_by_name = self._parts_by_name, {}
        for name, customer in self._customers_by_name.items():
            part = self._owners.own_part(customer)
            if part is not None:
                self._parts_by_name[name] = part
                self._own(name, name not in former_parts, delay_s, now)
        for name in former_parts.keys() - self._parts_by_name.keys():
            if name in self._buckets_by_name:
                self._buckets_by_name[name].refill(now)
                self._left_at_s_by_name[name] = now

    def _own(self, name: str, is_new: bool, delay_s: float, now: float) -> None:
        """Create or resize the bucket of an owned part."""
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            self._buckets_by_name[name] = WindowedBucket(
                *self._size(name),
                window_s=self._owners.window_s,
                level=self._parts_by_name[name].first_level,
                refill_from_s=now + delay_s,
            )
            return
        if is_new:
            is_recent = now - self._left_at_s_by_name[name] < OWNER_MEMORY_S
            bucket.pause(now if is_recent else now + delay_s)
        self._resize(name, now)

    def _resize(self, name: str, now: float) -> None:
        self._buckets_by_name[name].resize(*self._size(name), now)

    def _size(self, name: str) -> tuple[float, float, int]:
        """Return rate, capacity and limit of a part without the reserved shares."""
        part = self._parts_by_name[name]
        limit = max(1, int(part.limit * self._kept_share))
        return part.rate * self._kept_share, part.capacity, limit

    def grant_tokens(self, ask: m.TokenRequest, now: float) -> m.TokenGrant:
        """Grant a token to a node that requests it.

        :param ask: Request for a token.
        :param now: Clock reading in seconds.
        :returns: The grant; its amount is 0 if no token is due soon, and its wait is 0
            too if this node owns no part of the limit.
        """
        if ask.customer not in self._parts_by_name:
            return m.TokenGrant(ask.loan, SHARE, ask.customer, 0, 0)
        bucket = self._buckets_by_name[ask.customer]
        wait_s = bucket.wait_s(now)
        amount = int(wait_s <= MAX_TOKEN_WAIT_S)
        if amount:
            # A token that is not due yet is reserved for this request.
            bucket.take(now + wait_s)
        wait_ms = math.ceil(min(wait_s, MAX_RETRY_AFTER_S) * 1000)
        return m.TokenGrant(ask.loan, SHARE, ask.customer, amount, wait_ms)


class _Acquisition:
    """A request for which a token is being acquired.

    :param exchange: Id of the exchange.
    :param customer: Its customer.
    :param nodes: Owners that were not asked yet.
    :ivar node: Owner that was asked last.
    :ivar timeout_at_s: Clock reading until which its answer is awaited.
    :ivar wait_s: Shortest time until a token, as far as known, in seconds.
    :ivar n_silent: Number of owners that can't be asked or did not answer.
    """

    def __init__(self, exchange: int, customer: Customer, nodes: list[str]) -> None:
        self.exchange = exchange
        self.customer = customer
        self.nodes = nodes
        self.node = ""
        self.timeout_at_s = 0.0
        self.wait_s = MAX_RETRY_AFTER_S
        self.n_silent = 0


class QuotaClient:
    """Acquires a token for each request of a rate-limited customer.

    :param node_id: Id of this node.
    :param owners: Owners of all parts.
    :param owner: Buckets of this node.
    :ivar n_nodes: Number of known nodes, which share what is admitted without owners.
    :ivar is_isolated: Whether this node is isolated from all others.
    """

    def __init__(self, node_id: str, owners: QuotaOwners, owner: QuotaOwner) -> None:
        self._node_id = node_id
        self._owners = owners
        self._owner = owner
        self._loans = itertools.count(1)
        self._pending_by_loan: dict[int, _Acquisition] = {}
        self._fallbacks_by_name: dict[str, TokenBucket] = {}
        self._skipped_until_s_by_node: dict[str, float] = {}
        # Until when an owner has no token of a customer.
        self._empty_until_s: dict[tuple[str, str], float] = {}
        self._admit_at_s_by_exchange: dict[int, float] = {}
        self.n_nodes = 1
        self.is_isolated = False

    def acquire(
        self, exchange: int, customer: Customer | None, now: float
    ) -> Iterator[NamedTuple]:
        """Acquire a token; :class:`Admitted` or :class:`OverLimit` follows.

        :param exchange: Id of the exchange.
        :param customer: Customer of the request, or ``None``.
        :param now: Clock reading in seconds.
        """
        if customer is None or customer.rate <= 0:
            yield Admitted(exchange)
            return
        if self.is_isolated:
            yield from self._fall_back(exchange, customer, now)
            return
        nodes = [part.node for part in self._owners.parts(customer)]
        yield from self._ask_next(_Acquisition(exchange, customer, nodes), now)

    def _ask_next(self, pending: _Acquisition, now: float) -> Iterator[NamedTuple]:
        """Ask the next owner that may have a token; without one, end the request."""
        name = pending.customer.name
        while pending.nodes:
            node = pending.node = pending.nodes.pop(0)
            empty_s = self._empty_until_s.get((name, node), 0.0) - now
            if empty_s > 0:
                pending.wait_s = min(pending.wait_s, empty_s)
            elif now < self._skipped_until_s_by_node.get(node, 0.0):
                pending.n_silent += 1
            else:
                yield from self._ask(pending, now)
                return
        if pending.n_silent or not self._owners.parts(pending.customer):
            yield from self._fall_back(pending.exchange, pending.customer, now)
        else:
            yield OverLimit(pending.exchange, pending.wait_s)

    def _ask(self, pending: _Acquisition, now: float) -> Iterator[NamedTuple]:
        loan = next(self._loans)
        ask = m.TokenRequest(loan, SHARE, pending.customer.name, 1)
        if pending.node == self._node_id:
            grant = self._owner.grant_tokens(ask, now)
            yield from self._handle_grant(pending, grant, now)
            return
        pending.timeout_at_s = now + QUOTA_TIMEOUT_S
        self._pending_by_loan[loan] = pending
        yield SendTo(pending.node, ask)

    def _fall_back(
        self, exchange: int, customer: Customer, now: float
    ) -> Iterator[NamedTuple]:
        """Admit a request from this node's own share of the limit."""
        rate = customer.rate * FALLBACK_SHARE / self.n_nodes
        capacity = max(MIN_BURST, customer.burst / self.n_nodes)
        bucket = self._fallbacks_by_name.get(customer.name)
        if bucket is None:
            # Starts empty, since the owners may have just granted the whole burst.
            bucket = TokenBucket(rate, capacity, now)
            self._fallbacks_by_name[customer.name] = bucket
        bucket.resize(rate, capacity, now)
        amount = bucket.lease(1, now)
        bucket.settle(spent=amount, returned=0)
        wait_s = bucket.wait_s(1)
        if amount:
            yield Admitted(exchange)
        elif wait_s <= MAX_TOKEN_WAIT_S:
            bucket.level -= 1
            self._admit_at_s_by_exchange[exchange] = now + wait_s
        else:
            # An owner is likely to be reachable again by then.
            yield OverLimit(exchange, min(wait_s, SKIP_OWNER_S))

    def receive(self, grant: m.TokenGrant, now: float) -> Iterator[NamedTuple]:
        """Process the answer of an owner.

        :param grant: Answer of the owner.
        :param now: Clock reading in seconds.
        """
        pending = self._pending_by_loan.pop(grant.loan, None)
        if pending is None:
            return
        self._skipped_until_s_by_node.pop(pending.node, None)
        yield from self._handle_grant(pending, grant, now)

    def _handle_grant(
        self, pending: _Acquisition, grant: m.TokenGrant, now: float
    ) -> Iterator[NamedTuple]:
        wait_s = grant.wait_ms / 1000
        if not grant.amount:
            key = (pending.customer.name, pending.node)
            self._empty_until_s[key] = now + wait_s
            self._forget_elapsed_waits(now)
            if wait_s:
                pending.wait_s = min(pending.wait_s, wait_s)
            yield from self._ask_next(pending, now)
        elif grant.wait_ms:
            self._admit_at_s_by_exchange[pending.exchange] = now + wait_s
        else:
            yield Admitted(pending.exchange)

    def _forget_elapsed_waits(self, now: float) -> None:
        if len(self._empty_until_s) > MAX_KNOWN_WAITS:
            waits = self._empty_until_s.items()
            self._empty_until_s = {key: at_s for key, at_s in waits if at_s > now}

    def handle_node_loss(self, node: str, now: float) -> Iterator[NamedTuple]:
        """Ask other owners in place of one to which the link was lost.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        lost = [loan for loan, x in self._pending_by_loan.items() if x.node == node]
        for loan in lost:
            yield from self._give_up(loan, now)

    def _give_up(self, loan: int, now: float) -> Iterator[NamedTuple]:
        pending = self._pending_by_loan.pop(loan)
        pending.n_silent += 1
        self._skipped_until_s_by_node[pending.node] = now + SKIP_OWNER_S
        yield from self._ask_next(pending, now)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Admit requests whose token is due; ask others for owners that don't answer.

        :param now: Clock reading in seconds.
        """
        for exchange, at_s in list(self._admit_at_s_by_exchange.items()):
            if now >= at_s:
                del self._admit_at_s_by_exchange[exchange]
                yield Admitted(exchange)
        for loan, pending in list(self._pending_by_loan.items()):
            if now >= pending.timeout_at_s:
                yield from self._give_up(loan, now)
