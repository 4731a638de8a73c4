"""Recording of calls to decision cores in a trace file."""

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

    :param path: Path of the file.
    """

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def write(self, line: dict[str, Any]) -> None:
        """Append one line.

        :param line: Content of the line, as a JSON object.
        """
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")


class RecordedCore:
    """Proxy that forwards calls to a core and records them.

    :param core: The core.
    :param name: Name of the core in the trace.
    :param writer: Writer of the trace.
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
            values = tuple(_materialized(argument) for argument in arguments)
            out = value(*values)
            out = list(out) if isinstance(out, Iterator) else out
            line = {"core": self._name, "call": attribute}
            line["args"] = encode_value(values)
            line["out"] = encode_value(out)
            self._writer.write(line)
            return out

        return call


def _materialized(argument: Any) -> Any:
    return tuple(argument) if isinstance(argument, Iterator) else argument


def record_calls(
    core: Any, name: str, arguments: tuple[Any, ...], writer: TraceWriter | None
) -> Any:
    """Return a core whose calls are recorded, or the core itself without a trace.

    :param core: The core.
    :param name: Name of the core in the trace, unique for each instance.
    :param arguments: Arguments with which the core was constructed.
    :param writer: Writer of the trace, or ``None``.
    """
    if writer is None:
        return core
    line = {"core": name, "new": type(core).__name__}
    writer.write({**line, "args": encode_value(arguments)})
    return RecordedCore(core, name, writer)
