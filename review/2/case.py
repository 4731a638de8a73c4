"""A restarted node lets a late heartbeat undo an acknowledged deregistration."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Site, main, make_config, make_route  # noqa: E402

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The heartbeat leaves the server this long before the deregistration, and arrives this
# long after it: "seconds late".
HEARTBEAT_AGE_S = 0.3
HEARTBEAT_ARRIVES_S = 2.5
KILL_S = 0.5
RESTART_S = 1.0
SERVER_EXITS_S = 9.0
INTERVAL_S = 0.05


async def send_requests(site: Site, answers: list) -> None:
    """Send requests of both kinds to the node of the third host."""
    entry, tasks = site.hosts[2], set()
    try:
        for i in range(10_000):
            route, method = (("read", "GET"), ("once", "POST"))[i % 2]
            task = asyncio.ensure_future(site.ask(entry, f"/{route}/{i}", method))
            tasks.add(task)
            await asyncio.sleep(INTERVAL_S)
    finally:
        answers.extend(await asyncio.gather(*tasks))


async def play(site: Site) -> bool:
    """Deregister a server whose node then restarts, and count what reaches it."""
    leaving = site.hosts[0]
    for host in site.hosts:
        host.run_s = lambda request: 0.3
    await site.start(make_config([make_route("read"), make_route("once", "unsafe")]))
    answers: list = []
    traffic = asyncio.ensure_future(send_requests(site, answers))
    await asyncio.sleep(3)
    leaving.sends_heartbeats = False
    late_heartbeat = leaving.next_heartbeat()
    await asyncio.sleep(HEARTBEAT_AGE_S)
    status = await leaving.deregister()
    left_at_s = time.monotonic()
    site.note("deregistered", leaving.server_id, status=status)
    in_touch_at_s = left_at_s
    if TROUBLE:
        await asyncio.sleep(KILL_S)
        leaving.signal(signal.SIGKILL)
        await leaving.process.wait()
        await asyncio.sleep(RESTART_S - KILL_S)
        await leaving.start_node()
        in_touch_at_s = time.monotonic() + STABLE_WINDOW_S
        await asyncio.sleep(left_at_s + HEARTBEAT_ARRIVES_S - time.monotonic())
        await leaving.heartbeat(late_heartbeat)
    await asyncio.sleep(left_at_s + SERVER_EXITS_S - time.monotonic())
    await leaving.stop_server()
    site.note("server exits", leaving.server_id)
    await asyncio.sleep(1)
    traffic.cancel()
    await asyncio.wait({traffic})
    bound_s = max(left_at_s + DRAIN_S, in_touch_at_s)
    late = [
        run
        for run in site.runs
        if run.server == leaving.server_id and run.at_s > bound_s
    ]
    text = f"{len(late)} requests ran at a server {DRAIN_S:.0f} s after it had left"
    site.note("result", text, status_200=sum(a.status == 200 for a in answers))
    print(text)
    return not late


if __name__ == "__main__":
    hosts = [("zone-a", "permits"), ("zone-a", "permits"), ("zone-a", "trails")]
    main(Site(Path(__file__).parent, hosts), play)
