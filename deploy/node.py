"""Starts a node from a checkout, where the package itself is not installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heatherspur.sidecar.main import run_sidecar  # noqa: E402

run_sidecar()
