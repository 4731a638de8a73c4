"""Writes the calls of decision cores to a trace."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from heatherspur.replay.codec import encode_value

__all__ = ["RECORDED_METHODS", "TraceWriter", "record_calls"]

RECORDED_METHODS: dict[str, frozenset[str]] = {
    "ExitGate": frozenset(
        (
            "set_target",
            "set_probing",
            "close_target",
            "arrive",
            "finish",
            "cancel",
            "tick",
        )
    ),
    "TargetEjector": frozenset(
        (
            "set_class",
            "note",
            "answer",
            "drain_target",
            "restart_target",
            "update_peers",
            "tick",
        )
    ),
}


class TraceWriter:
    """Appends lines to a trace file.

    :param path: The file.
    """

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def write(self, line: dict[str, Any]) -> None:
        """Write one line.

        :param line: Its content.
        """
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")


class RecordedCore:
    """Passes calls on to a core and records them.

    :param core: The core.
    :param name: Name of the core in the trace.
    :param writer: The trace.
    """

    def __init__(self, core: Any, name: str, writer: TraceWriter) -> None:
        self._core = core
        self._name = name
        self._writer = writer
        self._methods = RECORDED_METHODS[type(core).__name__]

    def __getattr__(self, attribute: str) -> Any:
        value = getattr(self._core, attribute)
        if attribute not in self._methods:
            return value

        def call(*arguments: Any) -> Any:
            frozen = tuple(_frozen(argument) for argument in arguments)
            out = value(*frozen)
            out = list(out) if isinstance(out, Iterator) else out
            line = {"core": self._name, "call": attribute}
            line["args"] = encode_value(frozen)
            line["out"] = encode_value(out)
            self._writer.write(line)
            return out

        return call


def _frozen(argument: Any) -> Any:
    return tuple(argument) if isinstance(argument, Iterator) else argument


def record_calls(
    core: Any, name: str, arguments: tuple[Any, ...], writer: TraceWriter | None
) -> Any:
    """Return the core, recorded if there is a trace.

    :param core: The core.
    :param name: Name of the core in the trace, one for each instance.
    :param arguments: Arguments that it was made with.
    :param writer: The trace, or ``None``.
    """
    if writer is None:
        return core
    line = {"core": name, "new": type(core).__name__}
    writer.write({**line, "args": encode_value(arguments)})
    return RecordedCore(core, name, writer)
