"""Replicated state machine that applies log records to the catalogue state.

Every node applies the same records in the same order, so all nodes resolve conflicting
changes identically. An invalid record advances the offset and changes nothing else.
"""

import json
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple

from heatherspur.catalogue.entries import (
    CustomerEntry,
    Entry,
    ServiceEntry,
    entry_fields,
    parse_entry,
)
from heatherspur.catalogue.routes import RouteIndex
from heatherspur.catalogue.tables import LimitTable, NodeRecord, Share
from heatherspur.core import parse_address

__all__ = ["CatalogueState", "ChangeResult", "KeyOwner"]

MAX_RESULTS = 4096
MAX_TABLES = 16
ACCEPTED = "accepted"


class ChangeResult(NamedTuple):
    """Outcome of a change.

    :param offset: Offset of the record.
    :param outcome: ``"accepted"``, or the reason why the change was rejected.
    :param kind: Type of the record.
    :param subject: Entry, key digest or node that the change concerns.
    :param operator: Operator who made the change.
    """

    offset: int
    outcome: str
    kind: str
    subject: str
    operator: str

    @property
    def accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.outcome == ACCEPTED


class KeyOwner(NamedTuple):
    """Owner of a key.

    :param customer: Customer id.
    :param offset: Offset of the record that granted the key.
    """

    customer: str
    offset: int


class Version(NamedTuple):
    """Version of an entry that is in force.

    :param number: Version number; kept when the entry is withdrawn.
    :param operator: Operator who made this version.
    """

    number: int
    operator: str


class CatalogueState:
    """Catalogue state after all records before :attr:`offset` were applied.

    :ivar offset: Offset after the last applied record.
    :ivar snapshot_offset: Greatest offset that a snapshot covers.
    :ivar services_by_id: Services in force.
    :ivar customers_by_id: Customers in force.
    :ivar owners_by_digest: Owners of the keys in force, by key digest.
    :ivar nodes_by_id: Registered nodes.
    :ivar tables: Recent limit tables, newest last.
    :ivar settled_by_share: First epoch of the newest holder of each share that has
        started to grant tokens from it.
    :ivar routes: Index of the routes of all services.
    :ivar results_by_change_id: Outcomes of recent changes.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.snapshot_offset = 0
        self._clear()

    def _clear(self) -> None:
        self.services_by_id: dict[str, ServiceEntry] = {}
        self.customers_by_id: dict[str, CustomerEntry] = {}
        self.owners_by_digest: dict[bytes, KeyOwner] = {}
        self.nodes_by_id: dict[str, NodeRecord] = {}
        self.tables: list[LimitTable] = []
        self.settled_by_share: dict[int, int] = {}
        self.routes = RouteIndex()
        self.results_by_change_id: OrderedDict[str, ChangeResult] = OrderedDict()
        self._versions_by_entry: dict[tuple[str, str], Version] = {}

    @property
    def table(self) -> LimitTable | None:
        """Limit table in force, or ``None``."""
        return self.tables[-1] if self.tables else None

    def version_of(self, kind: str, entry_id: str) -> int:
        """Return the version number of an entry; 0 if it never existed."""
        version = self._versions_by_entry.get((kind, entry_id))
        return version.number if version else 0

    def apply(self, offset: int, value: str) -> ChangeResult | None:
        """Apply one record.

        :param offset: Offset of the record; a record below :attr:`offset` is ignored.
        :param value: Text of the record.
        :returns: The outcome, or ``None`` if the record is ignored.
        """
        if offset < self.offset:
            return None
        self.offset = offset + 1
        try:
            record = json.loads(value)
            change_id = str(record["change_id"])
            method = APPLY_BY_TYPE[record["type"]]
        except (ValueError, KeyError, TypeError):
            return None
        if change_id in self.results_by_change_id:
            return None
        subject, operator = _subject(record), str(record.get("operator", ""))
        try:
            outcome = method(self, offset, record)
        except (KeyError, TypeError, ValueError) as error:
            outcome = f"record is broken: {error!r}"
        result = ChangeResult(offset, outcome, record["type"], subject, operator)
        self._store_result(change_id, result)
        return result

    def _store_result(self, change_id: str, result: ChangeResult) -> None:
        self.results_by_change_id[change_id] = result
        while len(self.results_by_change_id) > MAX_RESULTS:
            self.results_by_change_id.popitem(last=False)

    def _check_version(self, kind: str, entry_id: str, replaces: int) -> str | None:
        """Return why a change conflicts with the version in force, or ``None``."""
        version = self._versions_by_entry.get((kind, entry_id), Version(0, "nobody"))
        if version.number == replaces:
            return None
        return (
            f"replaces version {replaces}, but version {version.number} by "
            f"{version.operator} is in force"
        )

    def _apply_entry_put(self, offset: int, record: dict[str, Any]) -> str:
        kind = record["kind"]
        parsed = parse_entry(kind, record["entry"])
        if parsed.is_err():
            return parsed.err_value.reason
        entry = parsed.ok_value
        problem = self._check_version(kind, entry.id, record["replaces"])
        problem = problem or self._check_routes(entry)
        if problem is not None:
            return problem
        self._put(kind, entry.id, entry)
        number = record["replaces"] + 1
        version = Version(number, str(record["operator"]))
        self._versions_by_entry[kind, entry.id] = version
        return ACCEPTED

    def _check_routes(self, entry: Entry) -> str | None:
        if isinstance(entry, CustomerEntry):
            return None
        for route in entry.routes:
            owner = self.routes.owner_of(route.prefix)
            if owner not in (None, entry.id):
                return f"route {route.prefix!r} belongs to service {owner!r}"
        return None

    def _put(self, kind: str, entry_id: str, entry: Entry | None) -> None:
        by_id = self.services_by_id if kind == "service" else self.customers_by_id
        old = by_id.pop(entry_id, None)
        if entry is not None:
            by_id[entry_id] = entry
        if kind == "service":
            self.routes.replace(old.routes if old else (), entry)

    def _apply_entry_withdraw(self, offset: int, record: dict[str, Any]) -> str:
        kind, entry_id = record["kind"], record["entry_id"]
        entries_by_kind = {
            "service": self.services_by_id,
            "customer": self.customers_by_id,
        }
        if kind not in entries_by_kind:
            return f"kind {kind!r} is neither service nor customer"
        if entry_id not in entries_by_kind[kind]:
            return f"{kind} {entry_id!r} is not in force"
        problem = self._check_version(kind, entry_id, record["replaces"])
        if problem is not None:
            return problem
        self._put(kind, entry_id, None)
        number = record["replaces"] + 1
        version = Version(number, str(record["operator"]))
        self._versions_by_entry[kind, entry_id] = version
        return ACCEPTED

    def _apply_key_grant(self, offset: int, record: dict[str, Any]) -> str:
        digest, customer = bytes.fromhex(record["digest"]), record["customer"]
        if customer not in self.customers_by_id:
            return f"customer {customer!r} is not in force"
        if digest in self.owners_by_digest:
            return "key is granted already"
        self.owners_by_digest[digest] = KeyOwner(customer, offset)
        return ACCEPTED

    def _apply_key_withdraw(self, offset: int, record: dict[str, Any]) -> str:
        digest = bytes.fromhex(record["digest"])
        if self.owners_by_digest.pop(digest, None) is None:
            return "key is not in force"
        return ACCEPTED

    def _apply_node_join(self, offset: int, record: dict[str, Any]) -> str:
        node = NodeRecord(**record["node"])
        parse_address(node.node)  # peers dial this address, so reject an invalid one
        self.nodes_by_id[node.node] = node
        return ACCEPTED

    def _apply_node_leave(self, offset: int, record: dict[str, Any]) -> str:
        node = self.nodes_by_id.get(record["node"])
        if node is None or node.incarnation != record["incarnation"]:
            return "incarnation is not in force"
        del self.nodes_by_id[node.node]
        return ACCEPTED

    def _apply_limit_table(self, offset: int, record: dict[str, Any]) -> str:
        shares = tuple(Share(**share) for share in record["shares"])
        epoch = self.table.epoch if self.table else 0
        if record["epoch"] != epoch + 1 or not shares:
            return f"epoch {record['epoch']} does not follow {epoch}"
        self.tables.append(LimitTable(record["epoch"], shares))
        del self.tables[:-MAX_TABLES]
        return ACCEPTED

    def _apply_share_settled(self, offset: int, record: dict[str, Any]) -> str:
        share, epoch = int(record["share"]), int(record["epoch"])
        known = self.settled_by_share.get(share, 0)
        self.settled_by_share[share] = max(known, epoch)
        return ACCEPTED

    def _apply_snapshot(self, offset: int, record: dict[str, Any]) -> str:
        self.snapshot_offset = max(self.snapshot_offset, record["offset"])
        return ACCEPTED

    def dump(self) -> str:
        """Return the state serialised as text for :meth:`restore`."""
        entries = [
            [kind, entry_fields(entry)]
            for kind, by_id in (
                ("service", self.services_by_id),
                ("customer", self.customers_by_id),
            )
            for entry in by_id.values()
        ]
        state = {
            "entries": entries,
            "versions": [[*k, *v] for k, v in self._versions_by_entry.items()],
            "keys": [[d.hex(), *o] for d, o in self.owners_by_digest.items()],
            "nodes": [list(node) for node in self.nodes_by_id.values()],
            "tables": [[t.epoch, [list(s) for s in t.shares]] for t in self.tables],
            "settled": list(self.settled_by_share.items()),
            "results": [[c, *r] for c, r in self.results_by_change_id.items()],
        }
        return json.dumps(state, separators=(",", ":"))

    def restore(self, offset: int, text: str) -> bool:
        """Replace this state by a newer one; ignore one that is not newer.

        :param offset: Offset after the last record that the given state includes.
        :param text: The state, as returned by :meth:`dump`.
        :returns: Whether the state was replaced.
        """
        if offset <= self.offset:
            return False
        state = json.loads(text)
        self._clear()
        self.offset = offset
        self.snapshot_offset = offset
        for kind, fields in state["entries"]:
            entry = parse_entry(kind, fields).unwrap()
            self._put(kind, entry.id, entry)
        for kind, entry_id, number, operator in state["versions"]:
            self._versions_by_entry[kind, entry_id] = Version(number, operator)
        for digest, customer, granted_at in state["keys"]:
            owner = KeyOwner(customer, granted_at)
            self.owners_by_digest[bytes.fromhex(digest)] = owner
        for values in state["nodes"]:
            node = NodeRecord(*values)
            self.nodes_by_id[node.node] = node
        for epoch, shares in state["tables"]:
            self.tables.append(LimitTable(epoch, tuple(Share(*s) for s in shares)))
        self.settled_by_share.update(dict(state["settled"]))
        for change_id, *values in state["results"]:
            self.results_by_change_id[change_id] = ChangeResult(*values)
        return True


APPLY_BY_TYPE = {
    "entry_put": CatalogueState._apply_entry_put,
    "entry_withdraw": CatalogueState._apply_entry_withdraw,
    "key_grant": CatalogueState._apply_key_grant,
    "key_withdraw": CatalogueState._apply_key_withdraw,
    "node_join": CatalogueState._apply_node_join,
    "node_leave": CatalogueState._apply_node_leave,
    "limit_table": CatalogueState._apply_limit_table,
    "share_settled": CatalogueState._apply_share_settled,
    "snapshot": CatalogueState._apply_snapshot,
}


def _subject(record: dict[str, Any]) -> str:
    """Return the subject of a record, for the history of changes."""
    for name in ("entry_id", "digest", "share", "epoch", "offset"):
        if name in record:
            return str(record[name])
    inner = record.get("entry") or record.get("node")
    if isinstance(inner, dict):
        return str(inner.get("id") or inner.get("node"))
    return str(inner)


def rebuild(records: Iterable[tuple[int, str]]) -> CatalogueState | None:
    """Build a state from the records that the log retains.

    :param records: Offsets and texts, oldest first, without gaps.
    :returns: The state, or ``None`` if the oldest records have expired and no
        snapshot covers them.
    """
    retained = list(records)
    state = CatalogueState()
    oldest = retained[0][0] if retained else 0
    if oldest > 0 and not _restore_newest(state, retained, oldest):
        return None
    for offset, value in retained:
        state.apply(offset, value)
    return state


def _restore_newest(
    state: CatalogueState, retained: list[tuple[int, str]], oldest: int
) -> bool:
    """Restore the newest snapshot after which all records are retained.

    :param oldest: Offset of the oldest retained record.
    :returns: Whether there is such a snapshot.
    """
    for _, value in reversed(retained):
        if '"type":"snapshot"' not in value:
            continue
        record = json.loads(value)
        if record["offset"] >= oldest:
            return state.restore(record["offset"], record["state"])
    return False
