"""Events that the tasks of a node on the users' platform send to each other."""

from circuits import Event

__all__ = ["fleet_changed", "keys_changed", "table_changed", "target_heard"]


class table_changed(Event):  # noqa: N801 - circuits names events in lower case
    """A newer configuration is in force.

    :param table: A :class:`~heatherspur.dispatch.RoutingTable`.
    """


class keys_changed(Event):  # noqa: N801 - circuits names events in lower case
    """Records of a topic changed, in the store or at a neighbour.

    :param topic: Name of the topic.
    :param values_by_key: New values; empty where a key was dropped.
    """


class settings_changed(Event):  # noqa: N801
    """Settings that can change while the node runs did.

    :param settings: All settings.
    """


class fleet_changed(Event):  # noqa: N801
    """The records of other nodes changed."""


class target_heard(Event):  # noqa: N801
    """The target beside this node reported a change of its state.

    :param beat: A :class:`~heatherspur.dispatch.TargetReport`.
    """
