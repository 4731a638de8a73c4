"""Catalogue entries, keys and the catalogue state that results from the log."""

from heatherspur.catalogue.changes import (
    entry_put,
    entry_withdraw,
    key_grant,
    key_withdraw,
    limit_table,
    new_change_id,
    node_join,
    node_leave,
    share_settled,
    snapshot,
)
from heatherspur.catalogue.conf import CatalogueError, EntryError
from heatherspur.catalogue.entries import (
    OPEN_CUSTOMER_PREFIX,
    SERVICE_CLASSES,
    CustomerEntry,
    Entry,
    Route,
    ServiceEntry,
    entry_fields,
    parse_entry,
)
from heatherspur.catalogue.keys import key_digest, new_key
from heatherspur.catalogue.replica import AskPeer, CatalogueReplica, Seek
from heatherspur.catalogue.routes import RouteIndex, RouteMatch
from heatherspur.catalogue.state import CatalogueState, ChangeResult, KeyOwner
from heatherspur.catalogue.tables import LimitTable, NodeRecord, Share

__all__ = [
    "OPEN_CUSTOMER_PREFIX",
    "SERVICE_CLASSES",
    "AskPeer",
    "CatalogueError",
    "CatalogueReplica",
    "CatalogueState",
    "ChangeResult",
    "CustomerEntry",
    "Entry",
    "EntryError",
    "KeyOwner",
    "LimitTable",
    "NodeRecord",
    "Route",
    "RouteIndex",
    "RouteMatch",
    "Seek",
    "ServiceEntry",
    "Share",
    "entry_fields",
    "entry_put",
    "entry_withdraw",
    "key_digest",
    "key_grant",
    "key_withdraw",
    "limit_table",
    "new_change_id",
    "new_key",
    "node_join",
    "node_leave",
    "parse_entry",
    "share_settled",
    "snapshot",
]
