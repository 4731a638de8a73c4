"""Events that the tasks of a node send to each other."""

from circuits import Event

__all__ = [
    "acquire",
    "admitted",
    "ask_peer",
    "caller_body",
    "caller_end",
    "caller_gone",
    "caller_request",
    "caller_took",
    "catalogue_changed",
    "decided",
    "limited",
    "node_lost",
    "pause_body",
    "report_now",
    "reply",
    "seek",
    "stop_node",
    "target_changed",
    "target_sample",
]


class caller_request(Event):  # noqa: N801 - circuits names events in lower case
    """A request head came from a caller.

    :param exchange: Id of the exchange.
    :param head: A :class:`~heatherspur.http.RequestHead`.
    """


class caller_body(Event):  # noqa: N801
    """A part of a request's body came.

    :param exchange: Id of the exchange.
    :param data: The part.
    """


class caller_end(Event):  # noqa: N801
    """A request is whole.

    :param exchange: Id of the exchange.
    """


class caller_gone(Event):  # noqa: N801
    """The caller closed its connection.

    :param exchange: Id of the exchange.
    """


class caller_took(Event):  # noqa: N801
    """The caller took a part of the answer.

    :param exchange: Id of the exchange.
    :param n_bytes: Bytes taken.
    """


class reply(Event):  # noqa: N801
    """Messages for a caller's connection.

    :param messages: ``Reply`` messages of the exchange subpackage.
    """


class pause_body(Event):  # noqa: N801
    """Stop or go on reading a request's body.

    :param exchange: Id of the exchange.
    :param paused: Whether to stop.
    """


class acquire(Event):  # noqa: N801
    """Ask for one token of a customer.

    :param customer: Customer id.
    :param exchange: Id of the exchange.
    """


class admitted(Event):  # noqa: N801
    """A token was spent on an exchange.

    :param exchange: Id of the exchange.
    """


class limited(Event):  # noqa: N801
    """No token could be had for an exchange.

    :param exchange: Id of the exchange.
    :param retry_after_s: When one is expected, in seconds.
    :param over_limit: Whether the customer is over its rate.
    """


class catalogue_changed(Event):  # noqa: N801
    """The state in force changed.

    :param results: What became of each change.
    """


class ask_peer(Event):  # noqa: N801
    """Ask a peer for records that the log did not give yet.

    :param ask: An :class:`~heatherspur.catalogue.AskPeer`.
    """


class seek(Event):  # noqa: N801
    """Read the log on from another offset.

    :param offset: The offset.
    """


class node_lost(Event):  # noqa: N801
    """The link to an exit is gone.

    :param node: Node id.
    """


class target_changed(Event):  # noqa: N801
    """A target came, changed or left.

    :param change: A :class:`~heatherspur.membership.TargetChanged`.
    """


class target_sample(Event):  # noqa: N801
    """A request ended at a target.

    :param service: Service id.
    :param target: Target id.
    :param service_ms: Service time, in milliseconds.
    :param failed: Whether no whole answer came.
    """


class decided(Event):  # noqa: N801
    """Decisions of the entry, for logs and metrics; handled after the answers.

    :param decisions: The decisions.
    """


class report_now(Event):  # noqa: N801
    """Send a heartbeat at once, since a target's state changed."""


class stop_node(Event):  # noqa: N801
    """Stop after the work in hand."""
