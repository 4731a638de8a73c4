"""Rate limits of a node: leases tokens for its callers and serves its own shares."""

import logging
from collections.abc import Iterable

from circuits import BaseComponent, handler

from heatherspur.catalogue import (
    OPEN_CUSTOMER_PREFIX,
    CatalogueReplica,
    NodeRecord,
    limit_table,
    new_change_id,
    share_settled,
)
from heatherspur.core import now_s
from heatherspur.limits import (
    Admitted,
    HolderLease,
    LimitSettings,
    LiveNode,
    Refused,
    SendTokenRequest,
    SendTokenSettlement,
    TablePlanner,
    TokenClient,
    TokenServer,
)
from heatherspur.link import messages as m
from heatherspur.membership import PeerTable
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.platform import append

__all__ = ["LimitsTask"]

FORGET_IDLE_INTERVAL_S = 10.0

logger = logging.getLogger("heatherspur.limits")


class LimitsTask(BaseComponent):
    """Task that owns both sides of rate limiting on one node.

    :param me: Record of this node.
    :param replica: The catalogue in force; read only.
    :param links: Links to other nodes.
    :param peers: The other nodes; read only.
    :param settings: Limit settings.
    """

    channel = "limits"

    def __init__(
        self,
        me: NodeRecord,
        replica: CatalogueReplica,
        links: LinkDirectory,
        peers: PeerTable,
        settings: LimitSettings,
    ) -> None:
        super().__init__()
        now = now_s()
        self._me = LiveNode(me.node, me.incarnation, me.zone)
        self._replica = replica
        self._links = links
        self._peers = peers
        self._settings = settings
        self.token_client = TokenClient(settings)
        self.holder_lease = HolderLease(me.node, me.incarnation, settings)
        self._token_server = TokenServer(self.holder_lease, settings, self._limit_of)
        self._planner = TablePlanner(self._me, settings, now)
        self._next_forget_s = now

    @handler("acquire")
    def _on_acquire(self, customer, exchange):
        self._perform(self.token_client.request(customer, exchange, now_s()))

    def _limit_of(self, customer: str) -> tuple[float, int] | None:
        """Return the rate and burst of a customer or of a service's open routes.

        :param customer: Customer id, or the name of the limit of open routes.
        :returns: Tokens per second and bucket size, or ``None`` if it is not known.
        """
        state = self._replica.state
        if customer.startswith(OPEN_CUSTOMER_PREFIX):
            service = state.services_by_id.get(
                customer.removeprefix(OPEN_CUSTOMER_PREFIX)
            )
            return (service.open_rate, service.open_burst) if service else None
        entry = state.customers_by_id.get(customer)
        return (entry.rate, entry.burst) if entry else None

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message)

    def _receive(self, link, message: m.Message) -> None:
        now = now_s()
        if isinstance(message, m.TokenRequest):
            link.send(self._token_server.grant(link.incarnation, message, now))
        elif isinstance(message, m.TokenGrant):
            self._perform(self.token_client.grant(message, now))
        elif isinstance(message, m.TokenSettlement):
            self._token_server.settle(link.incarnation, message, now)
        elif isinstance(message, m.TableQuery):
            self._apply_tables(now)
            link.send(self._token_server.answer_table_query(message))
        elif isinstance(message, m.TableConfirmation):
            self.holder_lease.record_answer(
                link.node, message.round, message.epoch, now
            )

    @handler("catalogue_changed", channel="*")
    def _on_catalogue_changed(self, results):
        self._apply_tables(now_s())

    def _apply_tables(self, now: float) -> None:
        """Apply the limit tables of the catalogue, if they changed."""
        state = self._replica.state
        if state.table is None:
            return
        tables = tuple(state.tables)
        if not self._token_server.apply_tables(tables, state.settled_by_share, now):
            return
        shares = state.table.shares
        self.token_client.n_shares = len(shares)
        local_shares = [
            i for i, share in enumerate(shares) if share.zone == self._me.zone
        ]
        self.token_client.home_share = local_shares[0] if local_shares else 0
        holders = [share.node for share in shares]
        extra = {"epoch": state.table.epoch, "holders": holders}
        logger.info("limits: table in force", extra=extra)

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self._apply_tables(now)
        seen_at_s = self._replica.log_head_seen_at_s
        if seen_at_s is not None:
            self.holder_lease.record_head_read(seen_at_s)
        started, asks = self._token_server.tick(now)
        for run in started:
            self._record_settled(run)
        for ask in asks:
            link = self._links.entry_links_by_node.get(ask.node)
            if link is not None:
                link.send(m.TableQuery(ask.round, ask.epoch))
        self._perform(self.token_client.tick(now))
        self._propose_table(now)
        if now >= self._next_forget_s:
            self._next_forget_s = now + FORGET_IDLE_INTERVAL_S
            self._token_server.drop_idle_buckets(now)

    def _record_settled(self, run) -> None:
        """Append to the log that the earlier holders of a share have stopped."""
        record = share_settled(new_change_id(), run.share, run.first_epoch)
        self.fire(append(record), "log")
        extra = {"share": run.share, "epoch": run.first_epoch}
        logger.info("limits: share holder started", extra=extra)

    def _propose_table(self, now: float) -> None:
        """Append a new limit table to the log, if one is needed and the log is current.

        :param now: Clock reading in seconds.
        """
        seen_at_s = self._replica.log_head_seen_at_s
        if seen_at_s is None or now - seen_at_s > self._settings.limit_proof_s:
            return
        live = [self._me]
        for peer in self._peers.alive_peers(now):
            live.append(LiveNode(peer.node, peer.incarnation, peer.zone))
        table = self._planner.plan(self._replica.state.table, live, now)
        if table is not None:
            extra = {"epoch": table.epoch, "holders": [s.node for s in table.shares]}
            logger.info("limits: table proposed", extra=extra)
            self.fire(append(limit_table(new_change_id(), table)), "log")

    def _perform(self, messages: Iterable) -> None:
        """Perform the actions returned by the client side of the limits."""
        for message in messages:
            if isinstance(message, Admitted):
                self.fire(events.admitted(message.request), "entry")
            elif isinstance(message, Refused):
                refusal = events.limited(
                    message.request, message.retry_after_s, message.over_limit
                )
                self.fire(refusal, "entry")
            elif isinstance(message, SendTokenRequest):
                self._send_token_request(message.message)
            elif isinstance(message, SendTokenSettlement):
                link = self._link_of(message.message.share)
                if link is not None:
                    link.send(message.message)

    def _link_of(self, share: int):
        table = self.holder_lease.table
        if table is None or share >= len(table.shares):
            return None
        return self._links.entry_links_by_node.get(table.shares[share].node)

    def _send_token_request(self, request: m.TokenRequest) -> None:
        """Request tokens from the holder of a share; without a link, get none."""
        link = self._link_of(request.share)
        if link is not None:
            link.send(request)
            return
        no_grant = m.TokenGrant(request.loan, request.share, request.customer, 0, 0)
        self._perform(self.token_client.grant(no_grant, now_s()))
