"""Admits requests against tokens leased from share holders.

The module does no I/O: it receives clock readings and messages, and returns outcomes
and messages to send.
"""

from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from heatherspur.limits.conf import LimitSettings
from heatherspur.link.messages import (
    Settlement,
    TokenGrant,
    TokenRequest,
    TokenSettlement,
)

__all__ = [
    "Admitted",
    "Refused",
    "SendTokenRequest",
    "SendTokenSettlement",
    "TokenClient",
]

SETTLE_INTERVAL_S = 0.2
PREFETCH_WINDOW_S = 0.1
MIN_PREFETCH_RATE_PER_S = 10.0
REQUEST_TIMEOUT_S = 0.15
MIN_RETRY_S = 0.1
DEMAND_TIME_CONSTANT_S = 1.0
UNRESPONSIVE_BACKOFF_S = 1.0
IDLE_RETURN_DELAY_S = 0.3
RETURN_LIFETIME_RATIO = 0.4
MAX_PENDING = 256


class Admitted(NamedTuple):
    """Outcome: a token was spent for a request, which may run.

    :param request: Handle of the request, as passed by the caller.
    """

    request: Any


class Refused(NamedTuple):
    """Outcome: a request is over its customer's limit, or no token arrived in time.

    :param request: Handle of the request, as passed by the caller.
    :param retry_after_s: Expected time until a token is available, in seconds.
    :param over_limit: Whether the holders answered that no tokens are available.
    """

    request: Any
    retry_after_s: float
    over_limit: bool


class SendTokenRequest(NamedTuple):
    """Action: send a token request to the holder of a share.

    :param message: The token request.
    """

    message: TokenRequest


class SendTokenSettlement(NamedTuple):
    """Action: send a settlement to the holder of a share.

    :param message: The settlement.
    """

    message: TokenSettlement


class HeldLease:
    """Tokens that this node has leased and not yet spent or returned.

    :param lease_id: Number of the lease, unique for this incarnation.
    :param share: Index of the share that granted the lease.
    :param amount: Unspent tokens.
    :param expires_at_s: Clock reading from which the tokens may not be spent.
    """

    __slots__ = ("amount", "expires_at_s", "lease_id", "share", "spent")

    def __init__(self, lease_id: int, share: int, amount: int, expires_at_s: float):
        self.lease_id = lease_id
        self.share = share
        self.amount = amount
        self.expires_at_s = expires_at_s
        self.spent = 0


class PendingRequest(NamedTuple):
    """A caller's request that waits for a token.

    :param request: Handle of the request.
    :param deadline_s: Clock reading at which the request is refused.
    """

    request: Any
    deadline_s: float


class InFlightLease(NamedTuple):
    """A token request that a holder has not answered yet.

    :param share: Index of the share that the request was sent to.
    :param sent_at_s: Clock reading at which the request was sent.
    """

    share: int
    sent_at_s: float


class Account:
    """Leases, pending requests and demand of one customer at this node."""

    __slots__ = (
        "demand_per_s",
        "excluded_shares",
        "in_flight_by_lease_id",
        "last_request_at_s",
        "leases",
        "next_token_request_at_s",
        "pending",
        "retry_at_s",
        "unresponsive_shares",
    )

    def __init__(self, now: float) -> None:
        self.leases: deque[HeldLease] = deque()
        self.pending: deque[PendingRequest] = deque()
        self.in_flight_by_lease_id: dict[int, InFlightLease] = {}
        self.excluded_shares: set[int] = set()
        self.unresponsive_shares: set[int] = set()
        self.retry_at_s = 0.0
        self.next_token_request_at_s = 0.0
        self.demand_per_s = 0.0
        self.last_request_at_s = now

    def available(self, now: float) -> int:
        """Return the number of tokens that may be spent now."""
        return sum(lease.amount for lease in self.leases if lease.expires_at_s > now)


class TokenClient:
    """Leases tokens for the requests of one node and spends them.

    :param settings: Limit settings.
    :param home_share: Index of the share that is requested first.
    """

    def __init__(self, settings: LimitSettings, home_share: int = 0) -> None:
        self._settings = settings
        self.home_share = home_share
        self.n_shares = 0
        self._accounts_by_customer: dict[str, Account] = {}
        self._next_lease_id = 1
        self._unresponsive_until_by_share: dict[int, float] = {}
        self._settled_at_s = 0.0

    @property
    def n_accounts(self) -> int:
        """Number of customers with leases, requests in flight or recent demand."""
        return len(self._accounts_by_customer)

    def request(self, customer: str, request: Any, now: float) -> Iterator[NamedTuple]:
        """Request one token for a caller's request.

        :param customer: Customer id.
        :param request: Handle that is returned in the outcome.
        :param now: Clock reading in seconds.
        :returns: Messages to send, and :class:`Admitted` or :class:`Refused`. If
            there is no outcome yet, a later call returns it.
        """
        account = self._account(customer, now)
        self._record_demand(account, now)
        if not account.pending and self._spend(account, now):
            yield Admitted(request)
        elif len(account.pending) >= MAX_PENDING:
            yield Refused(request, self._settings.limit_wait_s, True)
            return
        else:
            deadline_s = now + self._settings.limit_wait_s
            account.pending.append(PendingRequest(request, deadline_s))
        yield from self._advance(customer, account, now)

    def grant(self, message: TokenGrant, now: float) -> Iterator[NamedTuple]:
        """Process a holder's answer to a token request.

        The lease time counts from when the request was sent, because the answer may
        be delayed.

        :param message: The answer.
        :param now: Clock reading in seconds.
        :returns: Outcomes and messages to send.
        """
        account = self._accounts_by_customer.get(message.customer)
        in_flight = (
            account.in_flight_by_lease_id.pop(message.loan, None) if account else None
        )
        if in_flight is None:
            return
        expires_at_s = in_flight.sent_at_s + self._settings.limit_lapse_s
        if message.amount > 0 and expires_at_s > now:
            lease = HeldLease(message.loan, message.share, message.amount, expires_at_s)
            account.leases.append(lease)
        if message.amount < 1 and message.wait_ms == 0:
            self._mark_unresponsive(account, message.share, now)
        else:
            account.unresponsive_shares.discard(message.share)
        if message.amount < 1 and message.wait_ms > 0:
            account.excluded_shares.add(message.share)
            retry_at_s = now + max(MIN_RETRY_S, message.wait_ms / 1000)
            account.retry_at_s = min(account.retry_at_s or retry_at_s, retry_at_s)
        yield from self._advance(message.customer, account, now)
        yield from self._settle_used_up(account)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Process timeouts, and send settlements when they are due.

        :param now: Clock reading in seconds.
        :returns: Outcomes and messages to send.
        """
        for customer, account in list(self._accounts_by_customer.items()):
            self._time_out_token_requests(account, now)
            yield from self._advance(customer, account, now)
            yield from self._refuse_expired(account, now)
        if now - self._settled_at_s >= SETTLE_INTERVAL_S:
            self._settled_at_s = now
            yield from self._settle_all(now)

    def _account(self, customer: str, now: float) -> Account:
        account = self._accounts_by_customer.get(customer)
        if account is None:
            account = self._accounts_by_customer[customer] = Account(now)
        return account

    def _record_demand(self, account: Account, now: float) -> None:
        """Update the decaying average of a customer's request rate."""
        elapsed_s = now - account.last_request_at_s
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_TIME_CONSTANT_S)
        account.demand_per_s = account.demand_per_s * decay + 1 / DEMAND_TIME_CONSTANT_S
        account.last_request_at_s = now

    def _spend(self, account: Account, now: float) -> bool:
        """Spend one token, from the leases that expire first.

        :returns: Whether a token was available.
        """
        for lease in account.leases:
            if lease.expires_at_s > now and lease.amount > 0:
                lease.amount -= 1
                lease.spent += 1
                return True
        return False

    def _advance(
        self, customer: str, account: Account, now: float
    ) -> Iterator[NamedTuple]:
        """Admit pending requests, then request the tokens that are missing."""
        while account.pending and self._spend(account, now):
            yield Admitted(account.pending.popleft().request)
        if account.in_flight_by_lease_id or now < account.next_token_request_at_s:
            return
        n_needed = self._n_needed(account, now)
        if n_needed <= 0 or self.n_shares == 0:
            return
        share = self._next_share(account, now)
        if share is None:
            return
        yield from self._settle_spent(account, share)
        lease_id, self._next_lease_id = self._next_lease_id, self._next_lease_id + 1
        account.in_flight_by_lease_id[lease_id] = InFlightLease(share, now)
        yield SendTokenRequest(TokenRequest(lease_id, share, customer, n_needed))

    def _n_needed(self, account: Account, now: float) -> int:
        """Return how many tokens to request, prefetched ones included."""
        missing = len(account.pending)
        if account.demand_per_s >= MIN_PREFETCH_RATE_PER_S:
            missing += int(account.demand_per_s * PREFETCH_WINDOW_S)
        available = account.available(now)
        if account.pending or 2 * available < missing:
            return missing - available
        return 0

    def _next_share(self, account: Account, now: float) -> int | None:
        """Return the share to send the next token request to.

        The home share has priority, and shares whose holder answers are preferred
        over unresponsive ones.

        :returns: Index of the share, or ``None`` while all shares are excluded.
        """
        order = [(self.home_share + i) % self.n_shares for i in range(self.n_shares)]
        candidates = [s for s in order if s not in account.excluded_shares]
        silent = self._unresponsive_until_by_share
        responsive = [s for s in candidates if silent.get(s, 0.0) <= now]
        if candidates:
            return (responsive or candidates)[0]
        if now < account.retry_at_s:
            return None
        account.excluded_shares.clear()
        account.retry_at_s = 0.0
        return order[0]

    def _time_out_token_requests(self, account: Account, now: float) -> None:
        for lease_id, in_flight in list(account.in_flight_by_lease_id.items()):
            if now - in_flight.sent_at_s > REQUEST_TIMEOUT_S:
                del account.in_flight_by_lease_id[lease_id]
                self._mark_unresponsive(account, in_flight.share, now)

    def _mark_unresponsive(self, account: Account, share: int, now: float) -> None:
        """Record that a share's holder did not answer, or may not grant tokens now."""
        account.excluded_shares.add(share)
        account.unresponsive_shares.add(share)
        self._unresponsive_until_by_share[share] = now + UNRESPONSIVE_BACKOFF_S
        account.retry_at_s = max(account.retry_at_s, now + REQUEST_TIMEOUT_S)

    def _refuse_expired(self, account: Account, now: float) -> Iterator[Refused]:
        """Refuse pending requests that have reached their deadline."""
        while account.pending and account.pending[0].deadline_s <= now:
            expired = account.pending.popleft()
            over_limit = self.n_shares > 0 and not account.unresponsive_shares
            wait_s = max(0.1, account.retry_at_s - now)
            yield Refused(expired.request, wait_s, over_limit)

    def _settle_all(self, now: float) -> Iterator[SendTokenSettlement]:
        """Settle the leases of all customers, and remove idle accounts."""
        items_by_share: dict[int, list[Settlement]] = {}
        for customer, account in list(self._accounts_by_customer.items()):
            is_idle = (
                now - account.last_request_at_s > IDLE_RETURN_DELAY_S
                and not account.pending
            )
            for share, item in self._settlement_items(account, is_idle, now):
                items_by_share.setdefault(share, []).append(item)
            if is_idle and not account.leases and not account.in_flight_by_lease_id:
                del self._accounts_by_customer[customer]
        for share, items in items_by_share.items():
            yield SendTokenSettlement(TokenSettlement(share, tuple(items)))

    def _settle_used_up(self, account: Account) -> Iterator[SendTokenSettlement]:
        """Settle used-up leases at once.

        Until it is settled, a lease counts against the bucket's capacity, so that the
        bucket can't refill.
        """
        for lease in list(account.leases):
            if lease.amount == 0 and lease.spent > 0:
                account.leases.remove(lease)
                item = Settlement(lease.lease_id, lease.spent, 0)
                yield SendTokenSettlement(TokenSettlement(lease.share, (item,)))

    def _settle_spent(
        self, account: Account, share: int
    ) -> Iterator[SendTokenSettlement]:
        """Settle the spent tokens of a share before more are requested from it."""
        leases = [
            lease for lease in account.leases if lease.share == share and lease.spent
        ]
        items = tuple(Settlement(lease.lease_id, lease.spent, 0) for lease in leases)
        for lease in leases:
            lease.spent = 0
        if items:
            yield SendTokenSettlement(TokenSettlement(share, items))

    def _settlement_items(
        self, account: Account, return_all: bool, now: float
    ) -> list[tuple[int, Settlement]]:
        """Settle an account's leases, and drop those that are used up or expired.

        Tokens of a lease that is about to expire are returned, since they would be
        lost otherwise.

        :param return_all: Whether to return all unspent tokens.
        :returns: Pairs of a share's index and a settlement for its holder.
        """
        items = []
        return_before_s = self._settings.limit_lapse_s * RETURN_LIFETIME_RATIO
        for lease in list(account.leases):
            remaining_s = lease.expires_at_s - now
            is_returned = remaining_s > 0 and (
                return_all or remaining_s < return_before_s
            )
            returned = lease.amount if is_returned else 0
            if lease.spent or returned:
                items.append(
                    (lease.share, Settlement(lease.lease_id, lease.spent, returned))
                )
            lease.spent = 0
            lease.amount -= returned
            if lease.amount == 0 or lease.expires_at_s <= now:
                account.leases.remove(lease)
        return items
