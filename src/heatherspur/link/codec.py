"""Encodes link messages as CBOR (RFC 8949) and validates them when decoding."""

from collections.abc import Callable, Iterable
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

import cbor2
from result import Err, Ok, Result

from heatherspur.link.conf import LinkError
from heatherspur.link.messages import CODES, Message

__all__ = ["decode", "encode"]

Converter = Callable[[Any], Any]

TYPES_BY_CODE = {code: kind for kind, code in CODES.items()}


def encode(messages: Iterable[Message]) -> bytes:
    """Encode the messages of one frame.

    :param messages: The messages.
    :returns: A CBOR array with one item per message.
    """
    return cbor2.dumps([(CODES[type(message)], *message) for message in messages])


def decode(data: bytes, peer: str) -> Result[list[Message], LinkError]:
    """Decode and validate the messages of one frame.

    :param data: Encoded frame.
    :param peer: Address of the sender, for the error.
    :returns: The messages, or a :class:`LinkError` for the first invalid one.
    """
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Err(LinkError("decode message", peer, f"not CBOR: {error}"))
    if not isinstance(items, list):
        return Err(LinkError("decode message", peer, "not an array of messages"))
    messages = []
    for parts in items:
        decoded = _decode_message(parts, peer)
        if decoded.is_err():
            return decoded
        messages.append(decoded.ok_value)
    return Ok(messages)


def _decode_message(parts: Any, peer: str) -> Result[Message, LinkError]:
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], int):
        return Err(LinkError("decode message", peer, "not an array with a code"))
    kind = TYPES_BY_CODE.get(parts[0])
    if kind is None:
        return Err(LinkError("decode message", peer, f"unknown code {parts[0]}"))
    try:
        return Ok(_record_converter(kind)(parts[1:]))
    except (TypeError, ValueError) as error:
        return Err(LinkError("decode message", peer, f"{kind.__name__}: {error}"))


@cache
def _record_converter(kind: type) -> Converter:
    """Return a function that converts an array to the given ``NamedTuple`` class."""
    hints = get_type_hints(kind)
    converters = tuple(_converter(hints[name]) for name in kind._fields)
    n_fields = len(converters)

    def convert(parts: Any) -> Any:
        if not isinstance(parts, list | tuple) or len(parts) != n_fields:
            raise ValueError(f"expected {n_fields} fields")
        return kind(
            *(check(part) for check, part in zip(converters, parts, strict=True))
        )

    return convert


def _converter(hint: Any) -> Converter:
    """Return a function that validates and converts a value for a type hint."""
    if get_origin(hint) is tuple:
        return _tuple_converter(get_args(hint))
    if hasattr(hint, "_fields"):
        return _record_converter(hint)
    if hint is float:
        return _convert_float
    return _exact_type_converter(hint)


def _tuple_converter(arguments: tuple[Any, ...]) -> Converter:
    item_converter = _converter(arguments[0])
    n_items = None if arguments[-1] is Ellipsis else len(arguments)

    def convert(parts: Any) -> tuple[Any, ...]:
        if not isinstance(parts, list | tuple):
            raise TypeError("expected an array")
        if n_items is not None and len(parts) != n_items:
            raise ValueError(f"expected {n_items} items")
        return tuple(item_converter(part) for part in parts)

    return convert


def _convert_float(value: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _exact_type_converter(kind: type) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, got {type(value).__name__}")
        return value

    return convert
