"""Events that the tasks of a node fire at each other."""

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
    """The head of a request was received from a caller.

    :param exchange: Id of the exchange.
    :param head: A :class:`~heatherspur.http.RequestHead`.
    """


class caller_body(Event):  # noqa: N801
    """A chunk of a request's body was received.

    :param exchange: Id of the exchange.
    :param data: The chunk.
    """


class caller_end(Event):  # noqa: N801
    """The end of a request was received.

    :param exchange: Id of the exchange.
    """


class caller_gone(Event):  # noqa: N801
    """The connection of a caller was closed before the end of its answer.

    :param exchange: Id of the exchange.
    """


class caller_took(Event):  # noqa: N801
    """A part of the answer was written to the caller's connection.

    :param exchange: Id of the exchange.
    :param n_bytes: Bytes written since the last event.
    """


class reply(Event):  # noqa: N801
    """Messages for a caller's connection.

    :param messages: ``Reply`` messages of the exchange subpackage.
    """


class pause_body(Event):  # noqa: N801
    """Pause or resume reading a request's body.

    :param exchange: Id of the exchange.
    :param paused: Whether to pause.
    """


class acquire(Event):  # noqa: N801
    """Request one token of a customer.

    :param customer: Customer id, or the name of the limit of a service's open routes.
    :param exchange: Id of the exchange.
    """


class admitted(Event):  # noqa: N801
    """A token was spent on an exchange.

    :param exchange: Id of the exchange.
    """


class limited(Event):  # noqa: N801
    """No token was available for an exchange.

    :param exchange: Id of the exchange.
    :param retry_after_s: Seconds until a token is expected.
    :param over_limit: Whether the customer is over its rate.
    """


class catalogue_changed(Event):  # noqa: N801
    """The catalogue in force changed.

    :param results: Outcome of each change.
    """


class ask_peer(Event):  # noqa: N801
    """Request records from a peer that were not read from the log yet.

    :param ask: An :class:`~heatherspur.catalogue.AskPeer`.
    """


class seek(Event):  # noqa: N801
    """Continue reading the log from another offset.

    :param offset: Offset to read next.
    """


class node_lost(Event):  # noqa: N801
    """The link to an exit was lost.

    :param node: Node id of the exit.
    """


class target_changed(Event):  # noqa: N801
    """A target beside this node joined, changed or left.

    :param change: A :class:`~heatherspur.membership.TargetChanged`.
    """


class target_sample(Event):  # noqa: N801
    """A request ended at a target.

    :param service: Service id.
    :param target: Target id.
    :param service_ms: Service time, in milliseconds.
    :param failed: Whether it failed or was answered with a server error.
    """


class decided(Event):  # noqa: N801
    """Decisions of the entry, for logs and metrics; handled after the answers.

    :param decisions: The decisions.
    """


class report_now(Event):  # noqa: N801
    """Send a heartbeat at once because a target's state changed."""


class stop_node(Event):  # noqa: N801
    """Begin the graceful shutdown; requests in progress are completed."""
