"""Emulates a site: the decision logic of all nodes, without sockets or real clocks."""

from benchmarks.emulator.outcomes import Outcome, Summary, summarize
from benchmarks.emulator.policies import POLICIES_BY_NAME, Policy
from benchmarks.emulator.site import SiteError, SiteFile, load_site
from benchmarks.emulator.world import World

__all__ = [
    "POLICIES_BY_NAME",
    "Outcome",
    "Policy",
    "SiteError",
    "SiteFile",
    "Summary",
    "World",
    "load_site",
    "summarize",
]
