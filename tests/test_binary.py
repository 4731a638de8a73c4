"""Tests of the single-file program, which must run without child processes."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import httpx
import pytest

from tests.standins.fleet import Fleet

ROOT = Path(__file__).parents[1]


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    """Build the single-file program in a copy of the checkout; return its path."""
    folder = tmp_path_factory.mktemp("build")
    for name in ("src", "pyproject.toml", "README.md", "constraints.txt"):
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("*.egg-info", "__pycache__")
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)
    shutil.copy(ROOT / "build-binary", folder / "build-binary")
    environment = {**os.environ, "PYTHON": sys.executable}
    subprocess.run([folder / "build-binary"], env=environment, check=True, timeout=300)
    return folder / "dist" / "heatherspur"


def _child_pids(pid: int) -> list[str]:
    """Return the process ids of the direct children of a process."""
    tasks = Path(f"/proc/{pid}/task")
    return " ".join((t / "children").read_text() for t in tasks.iterdir()).split()


def test_help_is_printed(binary, tmp_path):
    environment = {**os.environ, "SHIV_ROOT": str(tmp_path)}
    for arguments in (["--help"], ["node", "--help"], ["catalogue", "apply", "--help"]):
        result = subprocess.run(
            [binary, *arguments], env=environment, capture_output=True, text=True
        )
        assert result.returncode == 0
        assert "heatherspur" in result.stdout + result.stderr


def test_node_serves_a_request_as_a_single_process(binary, tmp_path):
    with Fleet(tmp_path, zones=("a",)) as fleet:
        fleet.environment["SHIV_ROOT"] = str(tmp_path / "unpacked")
        fleet.program = binary
        fleet.start_nodes_with_targets()
        fleet.apply()
        fleet.wait_ready(n_targets=1)
        url = f"http://{fleet.nodes[0].callers}/news"
        assert httpx.get(url).status_code == 200
        assert _child_pids(fleet.processes[fleet.nodes[0].link].pid) == []
