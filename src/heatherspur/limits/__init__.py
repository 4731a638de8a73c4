"""A customer's rate and burst over all nodes together.

Each of a few holders owns an equal share of every customer's rate and burst. Entry
nodes borrow tokens from them in small batches and give back what they don't use.
``docs/design/limits.md`` gives the reasons.
"""

from heatherspur.limits.conf import LIMIT_SETTINGS, LimitSettings
from heatherspur.limits.holder_lease import HolderLease, SendTableQuery, ShareTenure
from heatherspur.limits.share_holder import ShareHolder
from heatherspur.limits.table_planner import LiveNode, TablePlanner
from heatherspur.limits.token_bucket import TokenBucket, split_limit
from heatherspur.limits.token_client import (
    Admitted,
    Refused,
    SendTokenRequest,
    SendTokenSettlement,
    TokenClient,
)
from heatherspur.limits.token_server import TokenServer

__all__ = [
    "LIMIT_SETTINGS",
    "Admitted",
    "TokenClient",
    "TokenBucket",
    "HolderLease",
    "TokenServer",
    "LimitSettings",
    "LiveNode",
    "Refused",
    "ShareTenure",
    "SendTokenRequest",
    "SendTokenSettlement",
    "SendTableQuery",
    "ShareHolder",
    "TablePlanner",
    "split_limit",
]
