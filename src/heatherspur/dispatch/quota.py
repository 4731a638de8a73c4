"""Distributed rate limits: enforces each customer's rate and burst over all nodes.

One customer may send many times its rate through all nodes at once. One node owns the
token bucket of each customer, selected by rendezvous hashing among the reachable nodes;
the others request one token per request from it. A new owner starts with an empty
bucket, and a former owner keeps its bucket without refilling it, so that a change of
owner grants no second burst, even if the owner alternates.

A node that can't reach the owner admits requests from its own small share, and the
owner reserves the shares of the nodes that it can't reach. A request whose token is due
soon waits for it, since most callers don't retry after a refusal.
"""

import itertools
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heatherspur.core import stable_hash
from heatherspur.dispatch.conf import (
    FALLBACK_SHARE,
    MAX_TOKEN_WAIT_S,
    QUOTA_TIMEOUT_S,
)
from heatherspur.dispatch.types import Customer
from heatherspur.exchange import SendTo
from heatherspur.limits import TokenBucket
from heatherspur.link import messages as m

__all__ = ["Admitted", "OverLimit", "QuotaClient", "QuotaOwner"]

SHARE = 0
MIN_BURST = 1.0
# An owner that can't reach any node keeps about the share of one node in a small fleet.
MIN_KEPT_SHARE = 0.03
# An owner that did not answer is skipped for about the duration of a restart.
SKIP_OWNER_S = 1.0


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
    """Token buckets of the customers that this node owns or has owned."""

    def __init__(self) -> None:
        self._customers_by_name: dict[str, Customer] = {}
        self._buckets_by_name: dict[str, TokenBucket] = {}
        self._owned_names: set[str] = set()
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
        for name in self._owned_names:
            customer = self._customers_by_name[name]
            bucket = self._buckets_by_name[name]
            bucket.resize(customer.rate * kept_share, bucket.capacity, now)

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the customers of the newest configuration.

        :param customers: All customers.
        :param now: Clock reading in seconds.
        """
        self._customers_by_name = {customer.name: customer for customer in customers}
        for name in self._buckets_by_name.keys() - self._customers_by_name.keys():
            del self._buckets_by_name[name]
            self._owned_names.discard(name)
        for name, bucket in self._buckets_by_name.items():
            customer = self._customers_by_name[name]
            if name not in self._owned_names:
                bucket.updated_at_s = now
            rate = customer.rate * self._kept_share
            bucket.resize(rate, max(MIN_BURST, customer.burst), now)

    def set_owned_customers(self, names: Iterable[str], now: float) -> None:
        """Set the owned customers; only their buckets are refilled.

        :param names: Names of the customers.
        :param now: Clock reading in seconds.
        """
        names = set(names)
        for name in self._owned_names - names:
            self._buckets_by_name[name].refill(now)
        for name in names - self._owned_names:
            self._start_refilling(name, now)
        self._owned_names = names

    def _start_refilling(self, name: str, now: float) -> None:
        bucket = self._buckets_by_name.get(name)
        if bucket is not None:
            bucket.updated_at_s = now
            bucket.rate = self._customers_by_name[name].rate * self._kept_share
            return
        customer = self._customers_by_name[name]
        capacity = max(MIN_BURST, customer.burst)
        rate = customer.rate * self._kept_share
        self._buckets_by_name[name] = TokenBucket(rate, capacity, now)

    def grant_tokens(self, ask: m.TokenRequest, now: float) -> m.TokenGrant:
        """Grant tokens to a node that requests them.

        :param ask: Request for tokens.
        :param now: Clock reading in seconds.
        :returns: The grant; its amount is 0 if no token is due soon.
        """
        bucket = self._bucket(ask.customer, now)
        if bucket is None:
            return m.TokenGrant(ask.loan, SHARE, ask.customer, 0, 0)
        amount = bucket.lease(ask.amount, now)
        bucket.settle(spent=amount, returned=0)
        wait_ms = 0
        if not amount:
            wait_s = bucket.wait_s(ask.amount)
            wait_ms = max(1, math.ceil(wait_s * 1000))
            if wait_s <= MAX_TOKEN_WAIT_S:
                # The next tokens are reserved for this request.
                amount = ask.amount
                bucket.level -= amount
        return m.TokenGrant(ask.loan, SHARE, ask.customer, amount, wait_ms)

    def _bucket(self, name: str, now: float) -> TokenBucket | None:
        """Return the bucket of a customer, ``None`` if it is unknown.

        A request may precede the assignment of this node as owner; the bucket then
        starts empty.
        """
        if name not in self._owned_names and name in self._customers_by_name:
            self._start_refilling(name, now)
            self._owned_names.add(name)
        return self._buckets_by_name.get(name)


class _Pending(NamedTuple):
    exchange: int
    customer: Customer
    node: str
    timeout_at_s: float


class QuotaClient:
    """Acquires a token for each request of a rate-limited customer.

    :param node_id: Id of this node.
    :param owner: Buckets of this node.
    :ivar is_isolated: Whether this node is isolated from all others.
    """

    def __init__(self, node_id: str, owner: QuotaOwner) -> None:
        self._node_id = node_id
        self._owner = owner
        self._loans = itertools.count(1)
        self._pending_by_loan: dict[int, _Pending] = {}
        self._fallbacks_by_name: dict[str, TokenBucket] = {}
        self._skipped_until_s_by_node: dict[str, float] = {}
        self._admit_at_s_by_exchange: dict[int, float] = {}
        self._nodes: list[str] = []
        self._owners_by_name: dict[str, str] = {}
        self._n_nodes = 1
        self.is_isolated = False

    def set_nodes(
        self, nodes: list[str], n_known: int, customers: Iterable[Customer], now: float
    ) -> None:
        """Reassign the owners if nodes or customers have changed.

        :param nodes: Reachable nodes.
        :param n_known: Number of known nodes.
        :param customers: Customers of the newest configuration.
        :param now: Clock reading in seconds.
        """
        self._n_nodes = max(1, n_known)
        limited = [customer for customer in customers if customer.rate > 0]
        names = {customer.name for customer in limited}
        if nodes == self._nodes and names == self._owners_by_name.keys():
            return
        self._nodes = nodes
        self._owners_by_name = {
            name: max(nodes, key=lambda node: stable_hash(name, node)) for name in names
        }
        owned_names = [
            name for name, node in self._owners_by_name.items() if node == self._node_id
        ]
        self._owner.set_owned_customers(owned_names, now)

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
        node = self._owners_by_name.get(customer.name, self._node_id)
        loan = next(self._loans)
        ask = m.TokenRequest(loan, SHARE, customer.name, 1)
        if self.is_isolated:
            yield from self._fall_back(exchange, customer, now)
        elif node == self._node_id:
            yield from self._handle_grant(
                exchange, self._owner.grant_tokens(ask, now), now
            )
        elif now < self._skipped_until_s_by_node.get(node, 0.0):
            yield from self._fall_back(exchange, customer, now)
        else:
            timeout_at_s = now + QUOTA_TIMEOUT_S
            self._pending_by_loan[loan] = _Pending(
                exchange, customer, node, timeout_at_s
            )
            yield SendTo(node, ask)

    def _fall_back(
        self, exchange: int, customer: Customer, now: float
    ) -> Iterator[NamedTuple]:
        """Admit a request from this node's own share of the limit."""
        rate = customer.rate * FALLBACK_SHARE / self._n_nodes
        capacity = max(MIN_BURST, customer.burst / self._n_nodes)
        bucket = self._fallbacks_by_name.get(customer.name)
        if bucket is None:
            # Starts empty, since the owner may have just granted the whole burst.
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
            yield OverLimit(exchange, wait_s)

    def receive(self, grant: m.TokenGrant, now: float) -> Iterator[NamedTuple]:
        """Process the answer of an owner.

        :param grant: Answer of the owner.
        :param now: Clock reading in seconds.
        """
        pending = self._pending_by_loan.pop(grant.loan, None)
        if pending is None:
            return
        self._skipped_until_s_by_node.pop(pending.node, None)
        yield from self._handle_grant(pending.exchange, grant, now)

    def _handle_grant(
        self, exchange: int, grant: m.TokenGrant, now: float
    ) -> Iterator[NamedTuple]:
        if not grant.amount:
            yield OverLimit(exchange, grant.wait_ms / 1000)
        elif grant.wait_ms:
            self._admit_at_s_by_exchange[exchange] = now + grant.wait_ms / 1000
        else:
            yield Admitted(exchange)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Admit requests whose token is due; fall back for owners that don't answer.

        :param now: Clock reading in seconds.
        """
        for exchange, at_s in list(self._admit_at_s_by_exchange.items()):
            if now >= at_s:
                del self._admit_at_s_by_exchange[exchange]
                yield Admitted(exchange)
        for loan, pending in list(self._pending_by_loan.items()):
            if now >= pending.timeout_at_s:
                del self._pending_by_loan[loan]
                self._skipped_until_s_by_node[pending.node] = now + SKIP_OWNER_S
                yield from self._fall_back(pending.exchange, pending.customer, now)
