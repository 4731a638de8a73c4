"""Starts a node from a checkout, where the package itself is not installed."""

import signal
import sys
from pathlib import Path

# A reload while the program still loads needs no answer, and must not end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heatherspur.sidecar.main import run_sidecar  # noqa: E402

run_sidecar()
