"""Rate limits that are enforced over all nodes together."""

import bisect

import pytest

from heatherspur.dispatch.conf import (
    FALLBACK_SHARE,
    MAX_TOKEN_WAIT_S,
    UNREACHABLE_MEMORY_S,
)
from heatherspur.dispatch.quota import Admitted, OverLimit, QuotaClient, QuotaOwner
from heatherspur.dispatch.tests.builders import (
    make_customer,
    make_fleet,
    make_member,
)
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

NODES = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]


class _QuotaFleet:
    """Three nodes with instant messages, except to and from partitioned nodes."""

    def __init__(self, customer):
        self.customer = customer
        self.partitioned_nodes = set()
        self.owners_by_node = {node: QuotaOwner() for node in NODES}
        self.clients_by_node = {
            node: QuotaClient(node, owner)
            for node, owner in self.owners_by_node.items()
        }
        for node, owner in self.owners_by_node.items():
            owner.set_customers([customer], 0.0)
            self.clients_by_node[node].set_nodes(NODES, 3, [customer], 0.0)

    def admits(self, node, exchange, now) -> bool:
        client = self.clients_by_node[node]
        messages = list(client.acquire(exchange, self.customer, now))
        if messages and isinstance(messages[0], SendTo):
            (message,) = messages
            if {node, message.node} & self.partitioned_nodes:
                messages = list(client.tick(now + 1))
            else:
                owner = self.owners_by_node[message.node]
                grant = owner.grant_tokens(message.message, now)
                messages = list(client.receive(grant, now))
        # A request that waits for its token counts as admitted.
        (message,) = messages or client.tick(now + MAX_TOKEN_WAIT_S)
        assert isinstance(message, Admitted | OverLimit)
        return isinstance(message, Admitted)


def _n_admitted(fleet, rate, until_s) -> int:
    return sum(
        fleet.admits(NODES[i % 3], i, 10 + i / rate) for i in range(int(rate * until_s))
    )


def test_flood_through_all_nodes_is_limited_to_rate_and_burst():
    fleet = _QuotaFleet(make_customer(rate=10, burst=5))
    assert _n_admitted(fleet, 100, 5) <= 10 * (5 + MAX_TOKEN_WAIT_S) + 5


def test_customer_within_its_rate_is_never_refused():
    fleet = _QuotaFleet(make_customer(rate=10, burst=5))
    assert _n_admitted(fleet, 9, 10) == 90


def test_partitioned_node_admits_a_small_share():
    fleet = _QuotaFleet(make_customer(rate=30, burst=3))
    owner = next(
        node
        for node in NODES
        if fleet.clients_by_node[node]._owners_by_name["inn"] == node
    )
    fleet.partitioned_nodes = set(NODES) - {owner}
    isolated = next(iter(fleet.partitioned_nodes))
    n_admitted = sum(fleet.admits(isolated, i, 10 + i / 100) for i in range(500))
    assert 10 <= n_admitted <= 30 * 5 / 3


def test_new_owner_grants_no_second_burst():
    fleet = _QuotaFleet(make_customer(rate=1, burst=20))
    n_before = sum(fleet.admits(NODES[0], i, 100.0) for i in range(50))
    for node, client in fleet.clients_by_node.items():
        rest = [n for n in NODES if n != client._owners_by_name["inn"]]
        client.set_nodes(rest, 3, [fleet.customer], 100.1)
        fleet.owners_by_node[node].set_owned_customers(
            ["inn"] if client._owners_by_name["inn"] == node else [], 100.1
        )
    n_after = sum(fleet.admits(NODES[0], 100 + i, 100.2) for i in range(50))
    assert n_before + n_after <= 20 + 1


@pytest.mark.parametrize("gap_s", [0.3, 1.0, 2.5])
def test_alternating_owners_admit_just_the_rate(gap_s):
    """Buckets emptied at each change refused customers within their rate."""
    customer = make_customer(rate=10, burst=10)
    owners = [QuotaOwner(), QuotaOwner()]
    for owner in owners:
        owner.set_customers([customer], 0.0)
    n_admitted = 0
    seconds, next_change_s, active = 30, 0.0, 0
    for i in range(seconds * 100):
        now = 10 + i / 100
        if now - 10 >= next_change_s:
            next_change_s += gap_s
            active = 1 - active
            owners[active].set_owned_customers([customer.name], now)
            owners[1 - active].set_owned_customers([], now)
        n_admitted += (
            owners[active].grant_tokens(m.TokenRequest(i, 0, "inn", 1), now).amount
        )
    assert n_admitted <= customer.rate * (seconds + MAX_TOKEN_WAIT_S) + 2
    assert n_admitted >= customer.rate * seconds * 0.9


def test_lower_limit_applies_immediately():
    fleet = _QuotaFleet(make_customer(rate=100, burst=100))
    low = make_customer(rate=2, burst=2)
    for owner in fleet.owners_by_node.values():
        owner.set_customers([low], 10.0)
    fleet.customer = low
    n_admitted = sum(fleet.admits(NODES[0], i, 10 + i / 100) for i in range(500))
    assert n_admitted <= 2 * (5 + MAX_TOKEN_WAIT_S) + 2


def test_request_waits_for_a_token_that_is_due_soon():
    """After the owner was killed, requests within the limit were refused."""
    customer = make_customer(rate=200, burst=200)
    owner = QuotaOwner()
    owner.set_customers([customer], 10.0)
    client = QuotaClient(NODES[0], owner)
    client.set_nodes(NODES[:1], 1, [customer], 10.0)
    assert list(client.acquire(1, customer, 10.001)) == []
    assert list(client.tick(10.002)) == []
    assert list(client.tick(10.006)) == [Admitted(1)]


DETECTION_S = 1.5
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20


def _admission_times_in_partition(is_detected: bool) -> list[float]:
    """Return when tokens are spent in a flood with half of 26 nodes isolated."""
    customer = make_customer(rate=48, burst=36)
    nodes = [f"10.0.1.{i}:80" for i in range(26)]
    owner = QuotaOwner()
    owner.set_customers([customer], 0.0)
    owner.set_owned_customers([customer.name], 0.0)
    isolated = [QuotaClient(f"cut-{i}", QuotaOwner()) for i in range(13)]
    for client in isolated:
        client.set_nodes(nodes, len(nodes), [customer], 0.0)
    times = []
    for step in range(1400):
        now = 20 + step / 100
        if is_detected and now >= 20 + DETECTION_S:
            owner.set_unreachable_share(len(isolated) / len(nodes), now)
        if owner.grant_tokens(m.TokenRequest(step, 0, customer.name, 1), now).amount:
            times.append(now)
        for client in isolated:
            messages = list(client.tick(now))
            if step % 10 == 0:
                messages += list(client.acquire(step, customer, now))
            times += [now for x in messages if isinstance(x, Admitted)]
    return times


def _max_in_window(times: list[float]) -> int:
    times = sorted(times)
    return max(
        i + 1 - bisect.bisect_left(times, end_s - WINDOW_S)
        for i, end_s in enumerate(times)
    )


def test_owner_and_isolated_nodes_together_admit_the_rate():
    allowed = (48 * WINDOW_S + 36) * (1 + OVERAGE) + SLACK
    assert _max_in_window(_admission_times_in_partition(is_detected=False)) > allowed
    assert _max_in_window(_admission_times_in_partition(is_detected=True)) <= allowed


def test_isolated_node_admits_only_from_its_share():
    customer = make_customer(rate=30, burst=3)
    owner = QuotaOwner()
    owner.set_customers([customer], 0.0)
    client = QuotaClient(NODES[0], owner)
    client.set_nodes(NODES[:1], 3, [customer], 0.0)
    client.is_isolated = True
    n_admitted = sum(
        isinstance(message, Admitted)
        for i in range(500)
        for message in client.acquire(i, customer, 10 + i / 100)
    )
    assert n_admitted <= 30 * 5 / 3 * FALLBACK_SHARE + 1


def test_unreachable_nodes_expire_or_become_reachable_by_an_answer():
    fleet = make_fleet(*(make_member(number) for number in (2, 3, 4, 5)))
    fleet.mark_down("10.0.0.2:80", 10.0)
    fleet.mark_down("10.0.0.3:80", 10.0)
    assert fleet.unreachable_share(10.5) == 0.5
    fleet.mark_up("10.0.0.2:80")
    assert fleet.unreachable_share(10.5) == 0.25
    fleet.record_message("10.0.0.3:80", 10.6)
    assert fleet.unreachable_share(10.6) == 0.0
    fleet.mark_down("10.0.0.3:80", 10.0)
    assert fleet.unreachable_share(10.0 + UNREACHABLE_MEMORY_S) == 0.0


def test_node_is_isolated_without_messages_and_with_unreachable_nodes():
    fleet = make_fleet(*(make_member(number) for number in (2, 3, 4, 5)))
    fleet.record_message("10.0.0.2:80", 10.0)
    assert not fleet.is_isolated(12.0)  # all nodes are reachable
    fleet.mark_down("10.0.0.3:80", 12.0)
    fleet.record_message(fleet.node_id, 12.0)
    assert fleet.is_isolated(12.1)
    fleet.record_message("10.0.0.2:80", 12.2)
    assert not fleet.is_isolated(12.3)
