import random

from heatherspur.exchange import EntryCore, EntryExchange, SendTo
from heatherspur.exchange.tests.model import SERVICE, report
from heatherspur.link import messages as m
from heatherspur.routing import RetryBudget, TargetSelector


def core_with_targets(offset=lambda: 0) -> EntryCore:
    target_selector = TargetSelector("z", random.Random(1))
    for node in ("x", "y"):
        target_selector.update_node(node, "z", (report(f"t-{node}"),))
    return EntryCore(target_selector, RetryBudget(100, 0.0), 3, offset)


def open_exchange(core, number=1, has_body=False) -> EntryExchange:
    exchange = EntryExchange(
        exchange=number, service=SERVICE, customer="c", key_digest=b"", method="POST",
        path="/", fields=(), idempotent=False, has_body=has_body, deadline_s=10.0,
        started_at_s=0.0,
    )  # fmt: skip
    core.open(exchange)
    return exchange


def sent_messages(messages) -> list:
    return [item.message for item in messages if isinstance(item, SendTo)]


def test_request_carries_the_log_offset_at_sending():
    """With an older offset, an exit behind in the log refused newly granted keys."""
    offsets = iter((7, 9))
    core = core_with_targets(lambda: next(offsets))
    for number, expected in ((1, 7), (2, 9)):
        open_exchange(core, number)
        assert sent_messages(core.admit(number, 1.0))[0].offset == expected


def test_body_is_kept_for_a_retry_until_the_target_accepts_it():
    core = core_with_targets()
    exchange = open_exchange(core, has_body=True)
    first = sent_messages(core.admit(1, 1.0))[0]
    list(core.receive_body(1, b"a" * 1000))
    list(core.receive_body_end(1))
    node = exchange.view.node
    again = sent_messages(core.receive(m.Refusal(first.number, "shed", 1), node, 1.1))
    assert [type(x) for x in again] == [m.RequestHead, m.RequestBody, m.RequestEnd]
    assert again[0].target != first.target


def test_body_beyond_the_window_waits_for_credit():
    core = core_with_targets()
    exchange = open_exchange(core, has_body=True)
    first = sent_messages(core.admit(1, 1.0))[0]
    for _ in range(3):
        list(core.receive_body(1, b"a" * 40_000))
    assert not core.can_accept_body(1) or exchange.n_sent_chunks == 2
    credit = m.Credit(first.number, 80_000)
    more = sent_messages(core.receive(credit, exchange.view.node, 1.1))
    assert [type(x) for x in more] == [m.RequestBody]
    refusal = m.Refusal(first.number, "shed", 1)
    assert sent_messages(core.receive(refusal, exchange.view.node, 1.2)) == []


def test_messages_for_closed_exchanges_and_from_other_nodes_are_dropped():
    core = core_with_targets()
    exchange = open_exchange(core)
    head = sent_messages(core.admit(1, 1.0))[0]
    other = "x" if exchange.view.node == "y" else "y"
    answer = m.ResponseHead(head.number, 200, (), 0.0, 1.0, 0)
    assert list(core.receive(answer, other, 1.1)) == []
    list(core.cancel(1))
    assert list(core.receive(answer, head.target[2:], 1.2)) == []
