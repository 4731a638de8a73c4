"""The node process: tasks that own their sockets and state, connected by events."""

from heatherspur.node.app import NodeApp
from heatherspur.node.conf import NODE_SETTINGS, NodeSettings, read_node_settings

__all__ = ["NODE_SETTINGS", "NodeApp", "NodeSettings", "read_node_settings"]
