"""Commands of the ``heatherspur`` program; ``fire`` prints their docstrings as help."""

import gc
import json
import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire
from fire.decorators import SetParseFn
from result import Result

from heatherspur import __version__
from heatherspur.catalogue import (
    ChangeResult,
    entry_fields,
    entry_put,
    entry_withdraw,
    key_digest,
    key_grant,
    key_withdraw,
    new_change_id,
    new_key,
)
from heatherspur.cli.conf import (
    EXIT_FAILED,
    EXIT_USAGE,
    OPERATOR_SETTINGS,
    STATUS_SETTINGS,
    CommandError,
    OperatorSettings,
    StatusSettings,
)
from heatherspur.cli.operator import (
    Confirmation,
    Operator,
    kind_of,
    query_status,
    read_entries,
)
from heatherspur.core import read_settings
from heatherspur.node import NODE_SETTINGS, NodeApp, read_node_settings
from heatherspur.ops import configure_logs
from heatherspur.ops.explain import explain
from heatherspur.replay import TraceError, replay_trace
from heatherspur.sidecar.main import run_sidecar

__all__ = ["Heatherspur", "run"]

DIGEST_LENGTH = 64
HELP_FLAGS = {"--help", "-h"}
GC_THRESHOLDS = (20_000, 20, 100)


def _unwrap(result: Result) -> Any:
    """Return the value of a result, or print its error and exit."""
    if result.is_ok():
        return result.ok_value
    error = result.err_value
    for line in getattr(error, "problems", (str(error),)):
        print(f"heatherspur: {line}", file=sys.stderr)
    sys.exit(getattr(error, "status", EXIT_USAGE))


def _open_catalogue(flags: dict[str, Any]) -> tuple[Operator, OperatorSettings]:
    settings = _unwrap(
        read_settings(OperatorSettings, OPERATOR_SETTINGS, flags, os.environ)
    )
    return Operator(settings), settings


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _report_change(
    operator: Operator, result: ChangeResult, extra: dict[str, Any] | None = None
) -> None:
    """Print the outcome of a change and the nodes that have applied it.

    Exit with an error if the change was rejected.

    :param operator: Client of the catalogue.
    :param result: Outcome of the change.
    :param extra: Further fields to print.
    """
    if not result.accepted:
        peer = f"{result.kind} {result.subject}"
        error = CommandError("change catalogue", peer, f"refused: {result.outcome}")
        print(f"heatherspur: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    confirmation: Confirmation = operator.confirm(result.offset)
    shown = {
        "outcome": result.outcome,
        "offset": result.offset,
        **(extra or {}),
        "in_force": list(confirmation.in_force),
        "not_confirmed": list(confirmation.missing),
    }
    _print_json(shown)


class CatalogueCommands:
    """Add, change, withdraw and list catalogue entries.

    Flags: --log, --log-stream, --log-timeout-s, --operator, --confirm-s.
    """

    def apply(self, file: str, **settings: Any) -> None:
        """Add or change the entries in FILE (TOML or JSON).

        Each change states the version that it replaces. If two operators change the
        same entry concurrently, the second change is rejected with the name of the
        first operator. The command reports a change only after the log has stored it,
        and lists the nodes that have applied it.
        """
        operator, values = _open_catalogue(settings)
        entries = _unwrap(read_entries(file))

        def build(change_id: str, entry: Any, replaces: int) -> str:
            return entry_put(change_id, values.operator, entry, replaces)

        last: ChangeResult | None = None
        for entry, result in operator.apply_all(entries, build, new_change_id):
            change = _unwrap(result)
            print(f"{kind_of(entry)} {entry.id}: {change.outcome}", file=sys.stderr)
            if not change.accepted and change.outcome != "unchanged":
                sys.exit(EXIT_FAILED)
            last = change if change.accepted else last
        if last is not None:
            _report_change(operator, last)

    def get(self, kind: str = "", id: str = "", **settings: Any) -> None:  # noqa: A002
        """Show all entries in force, those of KIND, or the one with the id ID."""
        operator, _ = _open_catalogue(settings)
        state = _unwrap(operator.read_state())
        groups = {"service": state.services_by_id, "customer": state.customers_by_id}
        if kind and kind not in groups:
            _exit_with_usage_error(f"KIND is {kind!r}: expected service or customer")
        shown: dict[str, list[Any]] = {}
        for name, by_id in groups.items():
            if kind in ("", name):
                shown[name] = [
                    {**entry_fields(e), "version": state.version_of(name, e.id)}
                    for e in by_id.values()
                    if id in ("", e.id)
                ]
        if id and not any(shown.values()):
            error = CommandError("get entry", f"{kind} {id}", "is not in force")
            print(f"heatherspur: {error}", file=sys.stderr)
            sys.exit(EXIT_FAILED)
        _print_json(shown)

    def withdraw(self, kind: str, id: str, **settings: Any) -> None:  # noqa: A002
        """Withdraw the entry of KIND (service or customer) with the id ID."""
        operator, values = _open_catalogue(settings)
        state = _unwrap(operator.read_state())
        change_id = new_change_id()
        replaces = state.version_of(kind, id)
        record = entry_withdraw(change_id, values.operator, kind, id, replaces)
        _report_change(operator, _unwrap(operator.change(change_id, record)))

    def history(self, n_changes: int = 20, **settings: Any) -> None:
        """Show the newest N_CHANGES changes, including rejected ones."""
        operator, _ = _open_catalogue(settings)
        state = _unwrap(operator.read_state())
        results = [r._asdict() for r in state.results_by_change_id.values()]
        _print_json(results[-n_changes:])


class KeyCommands:
    """Grant, withdraw and list callers' keys.

    Flags: --log, --log-stream, --log-timeout-s, --operator, --confirm-s.
    """

    def grant(self, customer: str, **settings: Any) -> None:
        """Grant a new key to CUSTOMER and print it once; only its digest is stored."""
        operator, values = _open_catalogue(settings)
        key = new_key()
        digest = key_digest(key.encode())
        change_id = new_change_id()
        record = key_grant(change_id, values.operator, digest, str(customer))
        result = _unwrap(operator.change(change_id, record))
        _report_change(operator, result, {"key": key, "digest": digest.hex()})

    def withdraw(self, key_or_digest: str, **settings: Any) -> None:
        """Withdraw a key, given as the key itself or as its digest.

        Nodes under ``not_confirmed`` did not answer or have not applied the change. A
        node that has had no contact to the log or another node for ``isolation_s``
        admits no keyed requests.
        """
        operator, values = _open_catalogue(settings)
        name = str(key_or_digest)
        digest = key_digest(name.encode())
        if len(name) == DIGEST_LENGTH and set(name) <= set("0123456789abcdef"):
            digest = bytes.fromhex(name)
        change_id = new_change_id()
        record = key_withdraw(change_id, values.operator, digest)
        _report_change(operator, _unwrap(operator.change(change_id, record)))

    def list(self, customer: str = "", **settings: Any) -> None:
        """List the digests of all keys in force, or of those of CUSTOMER."""
        operator, _ = _open_catalogue(settings)
        state = _unwrap(operator.read_state())
        _print_json(
            [
                {"digest": digest.hex(), "customer": owner.customer}
                for digest, owner in state.owners_by_digest.items()
                if customer in ("", owner.customer)
            ]
        )


class Heatherspur:
    """Proxy fleet for targets with gray failures.

    Settings are flags (``--zone=a``) or environment variables
    (``HEATHERSPUR_ZONE=a``); ``heatherspur settings`` lists all of them.
    """

    def __init__(self) -> None:
        self.catalogue = CatalogueCommands()
        self.key = KeyCommands()

    def node(self, **settings: Any) -> None:
        """Run the proxy node for the targets of one host.

        Requires at least ``--zone``, ``--callers``, ``--link``, ``--ops``, ``--log``
        and ``HEATHERSPUR_FLEET_SECRET``.
        """
        values = _unwrap(read_node_settings(settings, os.environ))
        configure_logs(values.log_level, str(values.link))
        logging.getLogger("circuits").setLevel(logging.ERROR)
        app = NodeApp(values)
        gc.collect()
        gc.freeze()  # a full collection would block the event loop for milliseconds
        gc.set_threshold(*GC_THRESHOLDS)
        app.run()

    def status(self, **settings: Any) -> None:
        """Show the status of the nodes given by ``--nodes=IP:PORT,IP:PORT``.

        ``--timeout-s`` limits the wait for each node.
        """
        values = _unwrap(
            read_settings(StatusSettings, STATUS_SETTINGS, settings, os.environ)
        )
        answers = {str(n): query_status(n, values.timeout_s) for n in values.nodes}
        _print_json(answers)
        if None in answers.values():
            sys.exit(EXIT_FAILED)

    def sidecar(self) -> None:
        """Run a node on the users' platform.

        The settings are read from the file that the platform's environment variable
        names.
        """
        run_sidecar()

    @SetParseFn(str)  # ids may look like numbers
    def explain(self, request_id: str, *files: str) -> None:
        """Show the outcome of the request REQUEST_ID from the log FILES of nodes."""
        lines: list[str] = []
        for file in files:
            try:
                lines += Path(file).read_text("utf-8", "replace").splitlines()
            except OSError as error:
                _exit_with_usage_error(f"{file}: {error.strerror}")
        found = _unwrap(explain(request_id, lines))
        steps = [step._asdict() for step in found.steps]
        _print_json({**found._asdict(), "steps": steps})

    def replay(self, trace: str) -> None:
        """Replay a recorded TRACE and check its expected outcomes."""
        try:
            lines = Path(trace).read_text("utf-8").splitlines()
            report = replay_trace(lines)
        except OSError as error:
            _exit_with_usage_error(f"{trace}: {error.strerror}")
        except TraceError as error:
            _exit_with_usage_error(str(error))
        _print_json(report._asdict())
        if not report.passed:
            sys.exit(EXIT_FAILED)

    def settings(self) -> None:
        """List the settings of a node: flag, variable, default and valid values."""
        for setting in NODE_SETTINGS:
            default = "required" if setting.default is None else repr(setting.default)
            flag = "--" + setting.name.replace("_", "-")
            print(f"{flag} ({setting.variable}), {default}: {setting.expects}.")
            print(f"    {setting.description}")

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def _exit_with_usage_error(reason: str) -> None:
    """Print an error and exit with the status of a usage error."""
    print(f"heatherspur: {reason}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def run(command: Callable[[], Any] = Heatherspur) -> None:
    """Run the command line.

    :param command: Class with the commands.
    """
    os.environ.setdefault("PAGER", "cat")
    arguments = sys.argv[1:]
    if HELP_FLAGS & set(arguments):
        # fire would pass the flag to commands that accept arbitrary settings.
        other_arguments = [
            argument for argument in arguments if argument not in HELP_FLAGS
        ]
        arguments = [*other_arguments, "--", "--help"]
    fire.Fire(command(), command=arguments, name="heatherspur")
