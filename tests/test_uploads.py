"""Uploads of many callers at the same time, in a bounded memory."""

import concurrent.futures
from pathlib import Path

import pytest

from tests.standins.site import Site, make_config

HOSTS = (("a", "trails"), ("a", "permits"))
MEMORY_BYTES = 300_000_000
N_UPLOADS = 12
UPLOAD_BYTES = 15_000_000
N_SMALL = 20


@pytest.fixture
def site(tmp_path):
    config = make_config()
    config["limits"]["max_body_bytes"] = 1 << 26
    with Site(tmp_path, HOSTS) as running:
        running.start(config)
        yield running


def _peak_bytes(site, host) -> int:
    process = site.processes_by_name[host.name]
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


def test_uploads_beyond_the_memory_are_refused_truthfully(site):
    """The node kept them all, and was killed over its memory."""
    entry, body = site.hosts[0], bytes(UPLOAD_BYTES)

    def upload(i: int):
        fields = {"Heatherspur-Attempt-Id": f"f{i:015x}"}
        return site.ask(
            entry, f"/once/{i}", "POST", fields=fields, content=body, timeout=10
        )

    with concurrent.futures.ThreadPoolExecutor(N_UPLOADS + 1) as pool:
        uploads = [pool.submit(upload, i) for i in range(N_UPLOADS)]
        small = [
            pool.submit(site.ask, entry, "/once/small", "POST", content=b"x" * 2500)
            for _ in range(N_SMALL)
        ]
        statuses = [answer.result().status_code for answer in uploads]
        assert [answer.result().status_code for answer in small] == [200] * N_SMALL
    assert set(statuses) <= {200, 503}
    runs = site.runs_by_id()
    for i, status in enumerate(statuses):
        assert runs.get(f"f{i:015x}", 0) == (status == 200)
    for host in site.hosts:
        assert _peak_bytes(site, host) < MEMORY_BYTES
