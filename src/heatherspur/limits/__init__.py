"""Distributed rate limiting: a customer's rate and burst hold over all nodes together.

Each of a few share holders owns an equal share of every customer's rate and burst.
Entry nodes lease tokens from the holders in small batches and return unused ones.
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
from heatherspur.limits.windowed_bucket import WindowedBucket

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
    "WindowedBucket",
    "split_limit",
]
