"""Target selection, detection of gray targets, their ejection, and retry budget."""

from heatherspur.routing.conf import ROUTING_SETTINGS, RoutingSettings
from heatherspur.routing.detector import OutlierDetector, PeerSample
from heatherspur.routing.ejection import AskPermit, StateChanged, TargetEjector
from heatherspur.routing.permits import PermitLedger, max_ejected
from heatherspur.routing.retry import RetryBudget
from heatherspur.routing.target_selector import NoTarget, TargetSelector, TargetView

__all__ = [
    "ROUTING_SETTINGS",
    "AskPermit",
    "TargetSelector",
    "NoTarget",
    "OutlierDetector",
    "PeerSample",
    "PermitLedger",
    "RetryBudget",
    "RoutingSettings",
    "StateChanged",
    "TargetEjector",
    "TargetView",
    "max_ejected",
]
