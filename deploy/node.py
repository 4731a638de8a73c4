"""Start a node from a checkout in which the package is not installed."""

import signal
import sys
from pathlib import Path

# Ignores reload signals while the program is loading: the default action would end the
# process, and the settings are read only afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heatherspur.sidecar.main import run_sidecar  # noqa: E402

run_sidecar()
