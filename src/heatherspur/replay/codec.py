"""Conversion of typed messages to JSON values and back."""

from functools import singledispatch
from typing import Any

from heatherspur.exchange import Arrival, ExchangeKey, Refuse, Start
from heatherspur.routing import AskPermit, PeerSample, RoutingSettings, StateChanged

__all__ = ["decode_value", "encode_value"]

TYPES_BY_NAME = {
    kind.__name__: kind
    for kind in (
        Arrival,
        AskPermit,
        ExchangeKey,
        PeerSample,
        Refuse,
        RoutingSettings,
        Start,
        StateChanged,
    )
}


@singledispatch
def encode_value(value: Any) -> Any:
    """Return the JSON representation of a value.

    :param value: A number, a text, a tuple or a typed message.
    """
    return value


@encode_value.register(tuple)
@encode_value.register(list)
def _encode_sequence(value: tuple | list) -> Any:
    items = [encode_value(item) for item in value]
    if hasattr(value, "_fields"):
        return {"type": type(value).__name__, "fields": items}
    return items


@singledispatch
def decode_value(value: Any) -> Any:
    """Return the value for the JSON representation of :func:`encode_value`.

    :param value: A JSON value.
    :raises KeyError: If the value has an unknown type.
    """
    return value


@decode_value.register(list)
def _decode_list(value: list) -> tuple:
    return tuple(decode_value(item) for item in value)


@decode_value.register(dict)
def _decode_dict(value: dict) -> Any:
    kind = TYPES_BY_NAME[value["type"]]
    return kind(*(decode_value(item) for item in value["fields"]))
