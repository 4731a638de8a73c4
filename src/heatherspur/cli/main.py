"""Commands of the ``heatherspur`` program, as ``fire`` shows them."""

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
    ask_status,
    kind_of,
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
    """Return the value of a result, or end the program with its error."""
    if result.is_ok():
        return result.ok_value
    error = result.err_value
    for line in getattr(error, "problems", (str(error),)):
        print(f"heatherspur: {line}", file=sys.stderr)
    sys.exit(getattr(error, "status", EXIT_USAGE))


def _operator(flags: dict[str, Any]) -> tuple[Operator, OperatorSettings]:
    settings = _unwrap(
        read_settings(OperatorSettings, OPERATOR_SETTINGS, flags, os.environ)
    )
    return Operator(settings), settings


def _show(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _report(
    operator: Operator, result: ChangeResult, extra: dict[str, Any] | None = None
) -> None:
    """Print what became of a change and which nodes have it in force."""
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
    _show(shown)


class CatalogueCommands:
    """Add, change, withdraw and show catalogue entries.

    Flags: --log, --log-stream, --log-timeout-s, --operator, --confirm-s.
    """

    def apply(self, file: str, **settings: Any) -> None:
        """Add or change the entries in FILE (TOML or JSON).

        Each change names the version that it replaces, so of two operators who race
        one is refused and told by whom. The command reports a change only after the
        log has it, and lists the nodes that have it in force.
        """
        operator, values = _operator(settings)
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
            _report(operator, last)

    def get(self, kind: str = "", id: str = "", **settings: Any) -> None:  # noqa: A002
        """Show the entries in force, all or those of KIND, or the one named ID."""
        operator, _ = _operator(settings)
        state = _unwrap(operator.read_state())
        groups = {"service": state.services_by_id, "customer": state.customers_by_id}
        if kind and kind not in groups:
            _unwrap_usage(f"KIND is {kind!r}: expected service or customer")
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
        _show(shown)

    def withdraw(self, kind: str, id: str, **settings: Any) -> None:  # noqa: A002
        """Withdraw the entry of KIND (service or customer) named ID."""
        operator, values = _operator(settings)
        state = _unwrap(operator.read_state())
        change_id = new_change_id()
        replaces = state.version_of(kind, id)
        record = entry_withdraw(change_id, values.operator, kind, id, replaces)
        _report(operator, _unwrap(operator.change(change_id, record)))

    def history(self, n_changes: int = 20, **settings: Any) -> None:
        """Show the newest N_CHANGES changes, refused ones included."""
        operator, _ = _operator(settings)
        state = _unwrap(operator.read_state())
        results = [r._asdict() for r in state.results_by_change_id.values()]
        _show(results[-n_changes:])


class KeyCommands:
    """Grant, withdraw and list callers' keys.

    Flags: --log, --log-stream, --log-timeout-s, --operator, --confirm-s.
    """

    def grant(self, customer: str, **settings: Any) -> None:
        """Grant a new key to CUSTOMER and print it once; only its digest is kept."""
        operator, values = _operator(settings)
        key = new_key()
        digest = key_digest(key.encode())
        change_id = new_change_id()
        record = key_grant(change_id, values.operator, digest, str(customer))
        result = _unwrap(operator.change(change_id, record))
        _report(operator, result, {"key": key, "digest": digest.hex()})

    def withdraw(self, key_or_digest: str, **settings: Any) -> None:
        """Withdraw a key, named by itself or by its digest.

        Nodes under ``not_confirmed`` did not answer. A node that has heard neither
        the log nor another node for ``isolation_s`` takes no keyed request.
        """
        operator, values = _operator(settings)
        name = str(key_or_digest)
        digest = key_digest(name.encode())
        if len(name) == DIGEST_LENGTH and set(name) <= set("0123456789abcdef"):
            digest = bytes.fromhex(name)
        change_id = new_change_id()
        record = key_withdraw(change_id, values.operator, digest)
        _report(operator, _unwrap(operator.change(change_id, record)))

    def list(self, customer: str = "", **settings: Any) -> None:
        """List the digests of the keys in force, all or those of CUSTOMER."""
        operator, _ = _operator(settings)
        state = _unwrap(operator.read_state())
        _show(
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
        """Run the process that stands beside the targets of one host.

        Needs at least ``--zone``, ``--callers``, ``--link``, ``--ops``, ``--log``
        and ``HEATHERSPUR_FLEET_SECRET``.
        """
        values = _unwrap(read_node_settings(settings, os.environ))
        configure_logs(values.log_level, str(values.link))
        logging.getLogger("circuits").setLevel(logging.ERROR)
        app = NodeApp(values)
        gc.collect()
        gc.freeze()  # full collections would stop the event loop for milliseconds
        gc.set_threshold(*GC_THRESHOLDS)
        app.run()

    def status(self, **settings: Any) -> None:
        """Show the status of nodes, named by ``--nodes=IP:PORT,IP:PORT``.

        ``--timeout-s`` bounds the wait for each.
        """
        values = _unwrap(
            read_settings(StatusSettings, STATUS_SETTINGS, settings, os.environ)
        )
        answers = {str(n): ask_status(n, values.timeout_s) for n in values.nodes}
        _show(answers)
        if None in answers.values():
            sys.exit(EXIT_FAILED)

    def sidecar(self) -> None:
        """Run a node on the users' platform.

        Its settings are in the file that the platform names in the environment.
        """
        run_sidecar()

    @SetParseFn(str)  # ids may look like numbers
    def explain(self, request_id: str, *files: str) -> None:
        """Show what became of the request REQUEST_ID in the log FILES of nodes."""
        lines: list[str] = []
        for file in files:
            try:
                lines += Path(file).read_text("utf-8", "replace").splitlines()
            except OSError as error:
                _unwrap_usage(f"{file}: {error.strerror}")
        found = _unwrap(explain(request_id, lines))
        steps = [step._asdict() for step in found.steps]
        _show({**found._asdict(), "steps": steps})

    def replay(self, trace: str) -> None:
        """Replay a recorded TRACE and check the outcomes that it states."""
        try:
            lines = Path(trace).read_text("utf-8").splitlines()
            report = replay_trace(lines)
        except OSError as error:
            _unwrap_usage(f"{trace}: {error.strerror}")
        except TraceError as error:
            _unwrap_usage(str(error))
        _show(report._asdict())
        if not report.passed:
            sys.exit(EXIT_FAILED)

    def settings(self) -> None:
        """List the settings of a node: flag, variable, default, what is expected."""
        for setting in NODE_SETTINGS:
            default = "required" if setting.default is None else repr(setting.default)
            flag = "--" + setting.name.replace("_", "-")
            print(f"{flag} ({setting.variable}), {default}: {setting.expects}.")
            print(f"    {setting.description}")

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def _unwrap_usage(reason: str) -> None:
    print(f"heatherspur: {reason}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def run(command: Callable[[], Any] = Heatherspur) -> None:
    """Run the command line.

    :param command: Class that holds the commands.
    """
    os.environ.setdefault("PAGER", "cat")
    words = sys.argv[1:]
    if HELP_FLAGS & set(words):
        # fire would take the flag for a setting of commands that accept any.
        kept = [word for word in words if word not in HELP_FLAGS]
        words = [*kept, "--", "--help"]
    fire.Fire(command(), command=words, name="heatherspur")
