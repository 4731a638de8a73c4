"""Events that the tasks of a node on the users' platform fire at each other."""

from circuits import Event

__all__ = [
    "departure_recorded",
    "end_requests",
    "fleet_changed",
    "keys_changed",
    "members_read",
    "settings_changed",
    "table_changed",
    "target_heard",
]


class table_changed(Event):  # noqa: N801 - circuits names events in lower case
    """A newer configuration took effect.

    :param table: The new :class:`~heatherspur.dispatch.RoutingTable`.
    """


class keys_changed(Event):  # noqa: N801 - circuits names events in lower case
    """Records of a topic were read from the store or received from a neighbour.

    :param topic: Name of the topic.
    :param values_by_key: New values of the changed keys; an empty value means that the
        key was deleted.
    """


class settings_changed(Event):  # noqa: N801
    """Settings that can be reloaded while the node runs were changed.

    :param settings: All settings, the unchanged ones included.
    """


class fleet_changed(Event):  # noqa: N801
    """The records of the fleet's members changed."""


class departure_recorded(Event):  # noqa: N801
    """The store holds a departure of the target beside this node.

    :param departure: A :class:`~heatherspur.dispatch.departures.Departure`.
    """


class end_requests(Event):  # noqa: N801
    """Give every request its final answer, since the process is about to end."""


class members_read(Event):  # noqa: N801
    """The store provided the newest records of all members."""


class target_heard(Event):  # noqa: N801
    """A new report of the target beside this node was accepted.

    :param report: A :class:`~heatherspur.dispatch.TargetReport`.
    :param departure: The :class:`~heatherspur.dispatch.departures.Departure` that it
        announces if it has to be recorded in the store, or ``None``.
    """
