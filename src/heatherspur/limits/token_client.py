"""Admits requests against borrowed tokens. Pure: time and messages in and out."""

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
    "TokenClient",
    "Refused",
    "SendTokenRequest",
    "SendTokenSettlement",
]

SETTLE_INTERVAL_S = 0.2
PREFETCH_S = 0.1
MIN_PREFETCH_RATE_PER_S = 10.0
ASK_TIMEOUT_S = 0.15
MIN_RETRY_S = 0.1
DEMAND_TIME_CONSTANT_S = 1.0
AVOID_SILENT_S = 1.0
RETURN_IDLE_S = 0.3
RETURN_SHARE = 0.4
MAX_WAITING = 256


class Admitted(NamedTuple):
    """A request may run.

    :param request: The caller's handle of the request.
    """

    request: Any


class Refused(NamedTuple):
    """A request is over its customer's rate, or no token could be had in time.

    :param request: The caller's handle of the request.
    :param retry_after_s: When a token is expected, in seconds.
    :param over_limit: Whether the holders answered that there are no tokens.
    """

    request: Any
    retry_after_s: float
    over_limit: bool


class SendTokenRequest(NamedTuple):
    """Send a question to the holder of a share.

    :param message: The question.
    """

    message: TokenRequest


class SendTokenSettlement(NamedTuple):
    """Send a report to the holder of a share.

    :param message: The report.
    """

    message: TokenSettlement


class BorrowedLoan:
    """Tokens in hand.

    :param loan: Number of the loan.
    :param share: Share that lent it.
    :param amount: Tokens left.
    :param lapses_at_s: Clock reading from which they may not be spent.
    """

    __slots__ = ("amount", "lapses_at_s", "loan", "share", "spent")

    def __init__(self, loan: int, share: int, amount: int, lapses_at_s: float):
        self.loan = loan
        self.share = share
        self.amount = amount
        self.lapses_at_s = lapses_at_s
        self.spent = 0


class Waiter(NamedTuple):
    """A request that waits for a token.

    :param request: The caller's handle.
    :param until_s: Clock reading at which it is refused.
    """

    request: Any
    until_s: float


class Question(NamedTuple):
    """A question under way.

    :param share: Share that was asked.
    :param sent_at_s: When it was sent.
    """

    share: int
    sent_at_s: float


class Account:
    """What this node holds and wants for one customer."""

    __slots__ = (
        "demand_per_s",
        "loans",
        "next_ask_at_s",
        "question_by_loan",
        "refusing_shares",
        "retry_at_s",
        "seen_at_s",
        "silent_shares",
        "waiters",
    )

    def __init__(self, now: float) -> None:
        self.loans: deque[BorrowedLoan] = deque()
        self.waiters: deque[Waiter] = deque()
        self.question_by_loan: dict[int, Question] = {}
        self.refusing_shares: set[int] = set()
        self.silent_shares: set[int] = set()
        self.retry_at_s = 0.0
        self.next_ask_at_s = 0.0
        self.demand_per_s = 0.0
        self.seen_at_s = now

    def available(self, now: float) -> int:
        """Return the tokens that may be spent now."""
        return sum(loan.amount for loan in self.loans if loan.lapses_at_s > now)


class TokenClient:
    """The tokens of one node.

    :param settings: Limit settings.
    :param home_share: Share that is asked first.
    """

    def __init__(self, settings: LimitSettings, home_share: int = 0) -> None:
        self._settings = settings
        self.home_share = home_share
        self.n_shares = 0
        self._accounts_by_customer: dict[str, Account] = {}
        self._next_loan = 1
        self._silent_until_by_share: dict[int, float] = {}
        self._settled_at_s = 0.0

    @property
    def n_accounts(self) -> int:
        """Number of customers with tokens, questions or demand."""
        return len(self._accounts_by_customer)

    def request(self, customer: str, request: Any, now: float) -> Iterator[NamedTuple]:
        """Ask for one token.

        :param customer: Customer id.
        :param request: Handle that comes back in the outcome.
        :param now: Clock reading in seconds.
        :returns: :class:`Admitted`, :class:`Refused` or neither for now, and
            messages to send.
        """
        account = self._account(customer, now)
        self._note_demand(account, now)
        if not account.waiters and self._spend(account, now):
            yield Admitted(request)
        elif len(account.waiters) >= MAX_WAITING:
            yield Refused(request, self._settings.limit_wait_s, True)
            return
        else:
            until_s = now + self._settings.limit_wait_s
            account.waiters.append(Waiter(request, until_s))
        yield from self._advance(customer, account, now)

    def grant(self, message: TokenGrant, now: float) -> Iterator[NamedTuple]:
        """Take the answer of a holder.

        :param message: The answer.
        :param now: Clock reading in seconds.
        :returns: Outcomes and messages to send.
        """
        account = self._accounts_by_customer.get(message.customer)
        question = account.question_by_loan.pop(message.loan, None) if account else None
        if question is None:
            return
        lapses_at_s = question.sent_at_s + self._settings.limit_lapse_s
        if message.amount > 0 and lapses_at_s > now:
            loan = BorrowedLoan(
                message.loan, message.share, message.amount, lapses_at_s
            )
            account.loans.append(loan)
        if message.amount < 1 and message.wait_ms == 0:
            self._note_silent(account, message.share, now)
        else:
            account.silent_shares.discard(message.share)
        if message.amount < 1 and message.wait_ms > 0:
            account.refusing_shares.add(message.share)
            retry_at_s = now + max(MIN_RETRY_S, message.wait_ms / 1000)
            account.retry_at_s = min(account.retry_at_s or retry_at_s, retry_at_s)
        yield from self._advance(message.customer, account, now)
        yield from self._settle_used(account)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Let time pass.

        :param now: Clock reading in seconds.
        :returns: Outcomes and messages to send.
        """
        for customer, account in list(self._accounts_by_customer.items()):
            self._expire_questions(account, now)
            yield from self._advance(customer, account, now)
            yield from self._refuse_late(account, now)
        if now - self._settled_at_s >= SETTLE_INTERVAL_S:
            self._settled_at_s = now
            yield from self._settle_all(now)

    def _account(self, customer: str, now: float) -> Account:
        account = self._accounts_by_customer.get(customer)
        if account is None:
            account = self._accounts_by_customer[customer] = Account(now)
        return account

    def _note_demand(self, account: Account, now: float) -> None:
        elapsed_s = now - account.seen_at_s
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_TIME_CONSTANT_S)
        account.demand_per_s = account.demand_per_s * decay + 1 / DEMAND_TIME_CONSTANT_S
        account.seen_at_s = now

    def _spend(self, account: Account, now: float) -> bool:
        """Spend one token, from the loans that lapse first."""
        for loan in account.loans:
            if loan.lapses_at_s > now and loan.amount > 0:
                loan.amount -= 1
                loan.spent += 1
                return True
        return False

    def _advance(
        self, customer: str, account: Account, now: float
    ) -> Iterator[NamedTuple]:
        """Serve waiting requests, then ask for what is missing."""
        while account.waiters and self._spend(account, now):
            yield Admitted(account.waiters.popleft().request)
        if account.question_by_loan or now < account.next_ask_at_s:
            return
        wanted = self._wanted(account, now)
        if wanted <= 0 or self.n_shares == 0:
            return
        share = self._next_share(account, now)
        if share is None:
            return
        yield from self._settlements(account, share)
        loan, self._next_loan = self._next_loan, self._next_loan + 1
        account.question_by_loan[loan] = Question(share, now)
        yield SendTokenRequest(TokenRequest(loan, share, customer, wanted))

    def _wanted(self, account: Account, now: float) -> int:
        missing = len(account.waiters)
        if account.demand_per_s >= MIN_PREFETCH_RATE_PER_S:
            missing += int(account.demand_per_s * PREFETCH_S)
        available = account.available(now)
        if account.waiters or 2 * available < missing:
            return missing - available
        return 0

    def _next_share(self, account: Account, now: float) -> int | None:
        """Return the share to ask: the home share first, then those not asked."""
        order = [(self.home_share + i) % self.n_shares for i in range(self.n_shares)]
        open_shares = [s for s in order if s not in account.refusing_shares]
        silent = self._silent_until_by_share
        heard = [s for s in open_shares if silent.get(s, 0.0) <= now]
        if open_shares:
            return (heard or open_shares)[0]
        if now < account.retry_at_s:
            return None
        account.refusing_shares.clear()
        account.retry_at_s = 0.0
        return order[0]

    def _expire_questions(self, account: Account, now: float) -> None:
        for loan, question in list(account.question_by_loan.items()):
            if now - question.sent_at_s > ASK_TIMEOUT_S:
                del account.question_by_loan[loan]
                self._note_silent(account, question.share, now)

    def _note_silent(self, account: Account, share: int, now: float) -> None:
        """Note that a share's holder did not answer, or may not lend now."""
        account.refusing_shares.add(share)
        account.silent_shares.add(share)
        self._silent_until_by_share[share] = now + AVOID_SILENT_S
        account.retry_at_s = max(account.retry_at_s, now + ASK_TIMEOUT_S)

    def _refuse_late(self, account: Account, now: float) -> Iterator[Refused]:
        while account.waiters and account.waiters[0].until_s <= now:
            waiter = account.waiters.popleft()
            over_limit = self.n_shares > 0 and not account.silent_shares
            wait_s = max(0.1, account.retry_at_s - now)
            yield Refused(waiter.request, wait_s, over_limit)

    def _settle_all(self, now: float) -> Iterator[SendTokenSettlement]:
        items_by_share: dict[int, list[Settlement]] = {}
        for customer, account in list(self._accounts_by_customer.items()):
            idle = now - account.seen_at_s > RETURN_IDLE_S and not account.waiters
            for share, item in self._items(account, idle, now):
                items_by_share.setdefault(share, []).append(item)
            if idle and not account.loans and not account.question_by_loan:
                del self._accounts_by_customer[customer]
        for share, items in items_by_share.items():
            yield SendTokenSettlement(TokenSettlement(share, tuple(items)))

    def _settle_used(self, account: Account) -> Iterator[SendTokenSettlement]:
        """Report loans that are used up at once: until then they block new tokens."""
        for loan in list(account.loans):
            if loan.amount == 0 and loan.spent > 0:
                account.loans.remove(loan)
                item = Settlement(loan.loan, loan.spent, 0)
                yield SendTokenSettlement(TokenSettlement(loan.share, (item,)))

    def _settlements(
        self, account: Account, share: int
    ) -> Iterator[SendTokenSettlement]:
        """Report spent tokens before asking for more."""
        loans = [loan for loan in account.loans if loan.share == share and loan.spent]
        items = tuple(Settlement(loan.loan, loan.spent, 0) for loan in loans)
        for loan in loans:
            loan.spent = 0
        if items:
            yield SendTokenSettlement(TokenSettlement(share, items))

    def _items(
        self, account: Account, give_back: bool, now: float
    ) -> list[tuple[int, Settlement]]:
        """Return what is to be reported and drop loans that are used up."""
        items = []
        old_s = self._settings.limit_lapse_s * RETURN_SHARE
        for loan in list(account.loans):
            left_s = loan.lapses_at_s - now
            is_returned = left_s > 0 and (give_back or left_s < old_s)
            returned = loan.amount if is_returned else 0
            if loan.spent or returned:
                items.append((loan.share, Settlement(loan.loan, loan.spent, returned)))
            loan.spent = 0
            loan.amount -= returned
            if loan.amount == 0 or loan.lapses_at_s <= now:
                account.loans.remove(loan)
        return items
