"""Builders of the catalogue records in the log, as JSON texts."""

import json
import secrets
from typing import Any

from heatherspur.catalogue.entries import CustomerEntry, Entry, entry_fields
from heatherspur.catalogue.tables import LimitTable, NodeRecord

__all__ = [
    "entry_put",
    "entry_withdraw",
    "key_grant",
    "key_withdraw",
    "limit_table",
    "new_change_id",
    "node_join",
    "node_leave",
    "share_settled",
    "snapshot",
]

CHANGE_ID_BYTES = 9


def new_change_id() -> str:
    """Return a new change id; a record keeps its id when it is sent again."""
    return secrets.token_urlsafe(CHANGE_ID_BYTES)


def _record(record_type: str, change_id: str, **fields: Any) -> str:
    record = {"type": record_type, "change_id": change_id, **fields}
    return json.dumps(record, separators=(",", ":"), sort_keys=True)


def entry_put(change_id: str, operator: str, entry: Entry, replaces: int) -> str:
    """Return a record that adds or changes an entry.

    :param change_id: Change id.
    :param operator: Operator who makes the change.
    :param entry: The new entry.
    :param replaces: Version that the entry replaces; 0 if there is none.
    """
    kind = "customer" if isinstance(entry, CustomerEntry) else "service"
    return _record(
        "entry_put",
        change_id,
        operator=operator,
        kind=kind,
        entry=entry_fields(entry),
        replaces=replaces,
    )


def entry_withdraw(
    change_id: str, operator: str, kind: str, entry_id: str, replaces: int
) -> str:
    """Return a record that withdraws an entry.

    :param change_id: Change id.
    :param operator: Operator who makes the change.
    :param kind: ``"service"`` or ``"customer"``.
    :param entry_id: Id of the entry.
    :param replaces: Version of the entry that is withdrawn.
    """
    return _record(
        "entry_withdraw",
        change_id,
        operator=operator,
        kind=kind,
        entry_id=entry_id,
        replaces=replaces,
    )


def key_grant(change_id: str, operator: str, digest: bytes, customer: str) -> str:
    """Return a record that grants a key to a customer.

    :param change_id: Change id.
    :param operator: Operator who makes the change.
    :param digest: Digest of the key.
    :param customer: Customer id.
    """
    return _record(
        "key_grant",
        change_id,
        operator=operator,
        digest=digest.hex(),
        customer=customer,
    )


def key_withdraw(change_id: str, operator: str, digest: bytes) -> str:
    """Return a record that withdraws a key.

    :param change_id: Change id.
    :param operator: Operator who makes the change.
    :param digest: Digest of the key.
    """
    return _record("key_withdraw", change_id, operator=operator, digest=digest.hex())


def node_join(change_id: str, node: NodeRecord) -> str:
    """Return a record that registers a node.

    :param change_id: Change id.
    :param node: Registration of the node.
    """
    return _record("node_join", change_id, node=node._asdict())


def node_leave(change_id: str, node: str, incarnation: str) -> str:
    """Return a record that removes a node from the catalogue.

    :param change_id: Change id.
    :param node: Node id.
    :param incarnation: Incarnation of the node.
    """
    return _record("node_leave", change_id, node=node, incarnation=incarnation)


def limit_table(change_id: str, table: LimitTable) -> str:
    """Return a record that proposes a table of limit shares.

    :param change_id: Change id.
    :param table: The table; accepted only if its epoch follows the one in force.
    """
    shares = [share._asdict() for share in table.shares]
    return _record("limit_table", change_id, epoch=table.epoch, shares=shares)


def share_settled(change_id: str, share: int, epoch: int) -> str:
    """Return a record that the holder of a share has started to grant tokens from it.

    It implies that earlier holders of the share have stopped.

    :param change_id: Change id.
    :param share: Index of the share.
    :param epoch: First epoch in which the holder holds the share.
    """
    return _record("share_settled", change_id, share=share, epoch=epoch)


def snapshot(change_id: str, offset: int, state: str) -> str:
    """Return a record with a snapshot of the state in force.

    :param change_id: Change id.
    :param offset: Offset after the last record that the state includes.
    :param state: The state, as returned by :meth:`CatalogueState.dump`.
    """
    return _record("snapshot", change_id, offset=offset, state=state)
