"""Start-up of a node on the users' platform."""

import gc
import logging
import os
import sys
from pathlib import Path

from heatherspur.ops import configure_logs
from heatherspur.platform.wire import SETTINGS_VARIABLE, decode_settings
from heatherspur.sidecar.app import SidecarApp

__all__ = ["run_sidecar"]

EXIT_USAGE = 2
# Collections of young objects are short; full collections would stall the event loop.
GC_THRESHOLDS = (20_000, 20, 100)


def run_sidecar() -> None:
    """Read the settings file named by the environment and run the node.

    :raises SystemExit: With status 2 if the settings can't be read or are invalid.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        data = path.read_bytes()
    except OSError as error:
        print(f"heatherspur: {SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = decode_settings(data, str(path))
    if settings.is_err():
        print(f"heatherspur: {settings.err_value}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logs("info", settings.ok_value.node, sys.stdout)
    logging.getLogger("circuits").setLevel(logging.ERROR)
    app = SidecarApp(settings.ok_value, path)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    app.run()
