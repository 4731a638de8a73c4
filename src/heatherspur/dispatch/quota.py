"""Keeps each customer's rate and burst over all nodes together.

Load pattern: one customer sends many times its rate through all nodes at once. One
node owns each customer's bucket, chosen by rendezvous hashing among the nodes that
answer; the others ask it for a token a request. A new owner starts with an empty
bucket, and one that stops being the owner keeps its bucket without filling it, so that
a change of owner hands out no second burst, also where owners change back and forth.
A node that can't reach the owner admits from a small share of its own, and the owner
leaves the parts of the nodes that it can't reach to them. A request whose
token is due in a moment waits for it: most callers don't come back after a refusal.
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
# An owner that reaches nobody keeps about the part of one node of a small fleet.
MIN_KEPT_PART = 0.03
# An owner that did not answer is left out for about the time of a restart.
SILENT_OWNER_S = 1.0


class Admitted(NamedTuple):
    """A token was spent on a request.

    :param exchange: Id of the exchange.
    """

    exchange: int


class OverLimit(NamedTuple):
    """The request's customer has no token left.

    :param exchange: Id of the exchange.
    :param retry_after_s: When a token is expected, in seconds.
    """

    exchange: int
    retry_after_s: float


class QuotaOwner:
    """Buckets of the customers that this node owns."""

    def __init__(self) -> None:
        self._customers_by_name: dict[str, Customer] = {}
        self._buckets_by_name: dict[str, TokenBucket] = {}
        self._owned_names: set[str] = set()
        self._part = 1.0

    def set_unreachable_share(self, part: float, now: float) -> None:
        """Leave nodes that can't be reached what they admit by themselves.

        :param part: Part of the nodes that did not answer lately, from 0 to 1.
        :param now: Clock reading in seconds.
        """
        kept = max(MIN_KEPT_PART, 1 - part)
        if kept == self._part:
            return
        self._part = kept
        for name in self._owned_names:
            customer = self._customers_by_name[name]
            bucket = self._buckets_by_name[name]
            bucket.resize(customer.rate * kept, bucket.capacity, now)

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Take the customers of the newest configuration.

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
            rate = customer.rate * self._part
            bucket.resize(rate, max(MIN_BURST, customer.burst), now)

    def set_owned_customers(self, names: Iterable[str], now: float) -> None:
        """Fill the buckets of just these customers.

        :param names: Names of the customers.
        :param now: Clock reading in seconds.
        """
        names = set(names)
        for name in self._owned_names - names:
            self._buckets_by_name[name].refill(now)
        for name in names - self._owned_names:
            self._start_filling(name, now)
        self._owned_names = names

    def _start_filling(self, name: str, now: float) -> None:
        bucket = self._buckets_by_name.get(name)
        if bucket is not None:
            bucket.updated_at_s = now
            bucket.rate = self._customers_by_name[name].rate * self._part
            return
        customer = self._customers_by_name[name]
        capacity = max(MIN_BURST, customer.burst)
        rate = customer.rate * self._part
        self._buckets_by_name[name] = TokenBucket(rate, capacity, now)

    def grant_tokens(self, ask: m.TokenRequest, now: float) -> m.TokenGrant:
        """Answer a node that asks for tokens.

        :param ask: The question.
        :param now: Clock reading in seconds.
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
                # The next tokens are promised to this request.
                amount = ask.amount
                bucket.level -= amount
        return m.TokenGrant(ask.loan, SHARE, ask.customer, amount, wait_ms)

    def _bucket(self, name: str, now: float) -> TokenBucket | None:
        """Return a customer's bucket; one asked for early starts empty."""
        if name not in self._owned_names and name in self._customers_by_name:
            self._start_filling(name, now)
            self._owned_names.add(name)
        return self._buckets_by_name.get(name)


class _Pending(NamedTuple):
    exchange: int
    customer: Customer
    node: str
    until_s: float


class QuotaClient:
    """Gets a token for each request of a limited customer.

    :param me: Own node id.
    :param owner: Buckets of this node.
    """

    def __init__(self, me: str, owner: QuotaOwner) -> None:
        self._me = me
        self._owner = owner
        self._loans = itertools.count(1)
        self._pending_by_loan: dict[int, _Pending] = {}
        self._fallbacks_by_name: dict[str, TokenBucket] = {}
        self._silent_until_by_node: dict[str, float] = {}
        self._admitted_at_by_exchange: dict[int, float] = {}
        self._nodes: list[str] = []
        self._owners_by_name: dict[str, str] = {}
        self._n_nodes = 1
        self.is_isolated = False

    def set_nodes(
        self, nodes: list[str], n_known: int, customers: Iterable[Customer], now: float
    ) -> None:
        """Choose the owners anew if nodes or customers changed.

        :param nodes: Nodes that answer.
        :param n_known: Number of nodes known.
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
        mine = [name for name, node in self._owners_by_name.items() if node == self._me]
        self._owner.set_owned_customers(mine, now)

    def acquire(
        self, exchange: int, customer: Customer | None, now: float
    ) -> Iterator[NamedTuple]:
        """Ask for a token; :class:`Admitted` or :class:`OverLimit` follows.

        :param exchange: Id of the exchange.
        :param customer: Its customer, or ``None``.
        :param now: Clock reading in seconds.
        """
        if customer is None or customer.rate <= 0:
            yield Admitted(exchange)
            return
        node = self._owners_by_name.get(customer.name, self._me)
        loan = next(self._loans)
        ask = m.TokenRequest(loan, SHARE, customer.name, 1)
        if self.is_isolated:
            yield from self._fall_back(exchange, customer, now)
        elif node == self._me:
            yield from self._take(exchange, self._owner.grant_tokens(ask, now), now)
        elif now < self._silent_until_by_node.get(node, 0.0):
            yield from self._fall_back(exchange, customer, now)
        else:
            until_s = now + QUOTA_TIMEOUT_S
            self._pending_by_loan[loan] = _Pending(exchange, customer, node, until_s)
            yield SendTo(node, ask)

    def _fall_back(
        self, exchange: int, customer: Customer, now: float
    ) -> Iterator[NamedTuple]:
        """Admit a request from this node's own part of the limit."""
        rate = customer.rate * FALLBACK_SHARE / self._n_nodes
        capacity = max(MIN_BURST, customer.burst / self._n_nodes)
        bucket = self._fallbacks_by_name.get(customer.name)
        if bucket is None:
            # It begins empty: the owner may have lent the whole burst a moment ago.
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
            self._admitted_at_by_exchange[exchange] = now + wait_s
        else:
            yield OverLimit(exchange, wait_s)

    def receive(self, grant: m.TokenGrant, now: float) -> Iterator[NamedTuple]:
        """Take an owner's answer.

        :param grant: The answer.
        :param now: Clock reading in seconds.
        """
        pending = self._pending_by_loan.pop(grant.loan, None)
        if pending is None:
            return
        self._silent_until_by_node.pop(pending.node, None)
        yield from self._take(pending.exchange, grant, now)

    def _take(
        self, exchange: int, grant: m.TokenGrant, now: float
    ) -> Iterator[NamedTuple]:
        if not grant.amount:
            yield OverLimit(exchange, grant.wait_ms / 1000)
        elif grant.wait_ms:
            self._admitted_at_by_exchange[exchange] = now + grant.wait_ms / 1000
        else:
            yield Admitted(exchange)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Admit requests whose token is there; stop waiting for silent owners.

        :param now: Clock reading in seconds.
        """
        for exchange, at_s in list(self._admitted_at_by_exchange.items()):
            if now >= at_s:
                del self._admitted_at_by_exchange[exchange]
                yield Admitted(exchange)
        for loan, pending in list(self._pending_by_loan.items()):
            if now >= pending.until_s:
                del self._pending_by_loan[loan]
                self._silent_until_by_node[pending.node] = now + SILENT_OWNER_S
                yield from self._fall_back(pending.exchange, pending.customer, now)
