from heatherspur.catalogue import LimitTable, Share
from heatherspur.limits import LimitSettings, LiveNode, TablePlanner

SETTINGS = LimitSettings(3, 0.9, 0.6, 1.0, 1.2, 86400.0)
NODES = [LiveNode(f"n{i}", f"i{i}", f"z{i % 3}") for i in range(6)]


def next_proposal(planner, table, live, since, until):
    """Return the first table that is proposed between two times, if any."""
    now = since
    while now < until:
        proposal = planner.plan(table, live, now)
        if proposal is not None:
            return proposal
        now += 0.1
    return None


def test_first_table_spreads_shares_over_zones():
    planner = TablePlanner(NODES[0], SETTINGS, 0.0)
    table = next_proposal(planner, None, NODES, 0.0, 5.0)
    assert table.epoch == 1
    assert {share.zone for share in table.shares} == {"z0", "z1", "z2"}


def test_first_table_waits_for_enough_nodes():
    """A table whose only member becomes unreachable can't be replaced."""
    planner = TablePlanner(NODES[0], SETTINGS, 0.0)
    assert next_proposal(planner, None, NODES[:1], 0.0, 2.9) is None
    table = next_proposal(planner, None, NODES[:3], 2.9, 5.0)
    assert len(table.members) == 3


def test_failed_holder_is_replaced_within_its_zone():
    planner = TablePlanner(NODES[0], SETTINGS, 0.0)
    table = LimitTable(1, tuple(Share(*node) for node in NODES[:3]))
    planner.plan(table, NODES, 0.0)
    live = [node for node in NODES if node.node != "n1"]
    repaired = next_proposal(planner, table, live, 10.0, 20.0)
    assert repaired.epoch == 2
    assert repaired.shares[1].node == "n4"
    assert [repaired.shares[i] for i in (0, 2)] == [table.shares[i] for i in (0, 2)]


def test_restarted_holder_is_replaced_by_its_new_incarnation():
    planner = TablePlanner(NODES[0], SETTINGS, 0.0)
    table = LimitTable(1, tuple(Share(*node) for node in NODES[:3]))
    live = [node._replace(incarnation="new") if node.node == "n1" else node
            for node in NODES]  # fmt: skip
    planner.plan(table, NODES, 0.0)
    assert next_proposal(planner, table, live, 10.0, 20.0).shares[1].incarnation != "i1"


def test_fault_that_persists_under_a_new_table_is_planned_again():
    """The planner failed if a fault persisted across a change of epoch."""
    planner = TablePlanner(NODES[0], SETTINGS, 0.0)
    shares = tuple(Share(*node) for node in NODES[:3])
    live = [node for node in NODES if node.node != "n1"]
    next_proposal(planner, LimitTable(1, shares), live, 10.0, 20.0)
    assert next_proposal(planner, LimitTable(2, shares), live, 20.0, 40.0) is not None
