"""Operators' access to the catalogue: reading, changing and confirming changes.

An answer of the log may be lost, so that the outcome of an append is unknown.
"""

import json
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from heatherspur.catalogue import (
    CatalogueState,
    ChangeResult,
    Entry,
    ServiceEntry,
    parse_entry,
)
from heatherspur.catalogue.state import rebuild
from heatherspur.cli.conf import EXIT_UNKNOWN, CommandError, OperatorSettings
from heatherspur.core import Address
from heatherspur.platform import LogClient

__all__ = ["Confirmation", "Operator", "query_status", "read_entries"]

MAX_APPEND_ATTEMPTS = 5
RETRY_DELAY_S = 0.3
POLL_INTERVAL_S = 0.1


class Confirmation(NamedTuple):
    """Nodes that have applied a change, and nodes that have not confirmed it.

    :param in_force: Ids of the nodes that have applied the change.
    :param missing: Ids of the nodes that did not answer or have not applied it.
    """

    in_force: tuple[str, ...]
    missing: tuple[str, ...]


def query_status(address: Address | str, timeout_s: float) -> dict[str, Any] | None:
    """Return the status of a node, or ``None`` if it does not answer.

    :param address: Address of the node's operations listener.
    :param timeout_s: Timeout in seconds.
    """
    try:
        with urllib.request.urlopen(
            f"http://{address}/status", timeout=timeout_s
        ) as answer:
            return json.load(answer)
    except (OSError, ValueError, urllib.error.URLError):
        return None


def read_entries(path: str) -> Result[list[Entry], CommandError]:
    """Read catalogue entries from a TOML or JSON file.

    :param path: Path of a file with the arrays ``service`` and ``customer``.
    :returns: The entries, or an error if the file or any entry is invalid.
    """
    try:
        text = Path(path).read_text("utf-8")
        is_json = path.endswith(".json")
        content = json.loads(text) if is_json else tomllib.loads(text)
    except OSError as error:
        return Err(CommandError("read catalogue file", path, str(error.strerror)))
    except ValueError as error:
        return Err(CommandError("read catalogue file", path, str(error)))
    if not isinstance(content, dict) or set(content) - {"service", "customer"}:
        reason = "expected arrays named service and customer"
        return Err(CommandError("read catalogue file", path, reason))
    entries, problems = [], []
    for kind, fields in ((k, f) for k in content for f in content[k]):
        parsed = parse_entry(kind, fields)
        if parsed.is_ok():
            entries.append(parsed.ok_value)
        else:
            problems.append(str(parsed.err_value))
    if problems:
        return Err(CommandError("check catalogue file", path, "; ".join(problems)))
    return Ok(entries)


def kind_of(entry: Entry) -> str:
    """Return the kind of an entry, ``"service"`` or ``"customer"``."""
    return "service" if isinstance(entry, ServiceEntry) else "customer"


class Operator:
    """Client with which a command reads and changes the catalogue in the log.

    :param settings: Settings of the command.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._log = LogClient(settings.log, settings.log_stream, settings.log_timeout_s)

    def read_state(self) -> Result[CatalogueState, CommandError]:
        """Return the catalogue state in force, rebuilt from the records in the log."""
        records = []
        for result in self._log.read_all():
            if result.is_err():
                error = result.err_value
                return Err(CommandError(error.step, error.peer, error.reason))
            records.append((result.ok_value.offset, result.ok_value.value))
        state = rebuild(records)
        if state is None:
            reason = "the oldest records have expired and no snapshot covers them"
            return Err(CommandError("read log", str(self._settings.log), reason))
        return Ok(state)

    def change(self, change_id: str, record: str) -> Result[ChangeResult, CommandError]:
        """Append a change to the log and return its outcome.

        If an answer is lost, it is unknown whether the append took effect, so the log
        is searched for the change id before the record is sent again.

        :param change_id: Change id of the record.
        :param record: Text of the record.
        :returns: The outcome, or an error with the status ``EXIT_UNKNOWN`` if it could
            not be determined.
        """
        peer = str(self._settings.log)
        last_error = "no answer"
        for _ in range(MAX_APPEND_ATTEMPTS):
            appended = self._log.append(record)
            state_result = self.read_state()
            if state_result.is_ok():
                result = state_result.ok_value.results_by_change_id.get(change_id)
                if result is not None:
                    return Ok(result)
            error = appended.err_value if appended.is_err() else state_result.err_value
            last_error = error.reason if error is not None else last_error
            time.sleep(RETRY_DELAY_S)
        reason = f"change {change_id} may or may not be in the log: {last_error}"
        return Err(CommandError("append change", peer, reason, EXIT_UNKNOWN))

    def confirm(self, offset: int) -> Confirmation:
        """Wait up to ``confirm_s`` until all nodes have applied a record.

        :param offset: Offset of the record.
        :returns: The nodes that have applied the record and those that have not.
        """
        state_result = self.read_state()
        nodes = dict(state_result.ok_value.nodes_by_id) if state_result.is_ok() else {}
        in_force: set[str] = set()
        deadline_s = time.monotonic() + self._settings.confirm_s
        while True:
            for node in sorted(set(nodes) - in_force):
                status = query_status(nodes[node].ops, self._settings.log_timeout_s)
                if status and status["catalogue"]["offset"] > offset:
                    in_force.add(node)
            missing = set(nodes) - in_force
            if not missing or time.monotonic() >= deadline_s:
                return Confirmation(tuple(sorted(in_force)), tuple(sorted(missing)))
            time.sleep(POLL_INTERVAL_S)

    def apply_all(
        self, entries: list[Entry], build: Callable[[str, Entry, int], str], new_id
    ) -> Iterator[tuple[Entry, Result[ChangeResult, CommandError]]]:
        """Add or change entries, with one record each; skip unchanged entries.

        :param entries: The entries.
        :param build: Returns the record for a change id, an entry and the version that
            it replaces.
        :param new_id: Returns a new change id.
        :returns: The entries and the outcomes of their changes.
        """
        state_result = self.read_state()
        for entry in entries:
            if state_result.is_err():
                yield entry, state_result
                return
            state = state_result.ok_value
            kind = kind_of(entry)
            by_id = state.services_by_id if kind == "service" else state.customers_by_id
            if by_id.get(entry.id) == entry:
                unchanged = ChangeResult(
                    state.offset - 1, "unchanged", "", entry.id, ""
                )
                yield entry, Ok(unchanged)
                continue
            change_id = new_id()
            replaces = state.version_of(kind, entry.id)
            yield entry, self.change(change_id, build(change_id, entry, replaces))
