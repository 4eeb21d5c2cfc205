"""A restore drill of the store, and later a planned restart of the lease holder."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys
import time
from typing import Final

from review.standins.case import run_case
from review.standins.deployment import CannotRunError, Deployment
from review.standins.record import Record
from review.standins.upstream import Overlap, find_overlaps

FOLDER: Final = Path(__file__).parent
COPY_AGE: Final = 7.0
"""Seconds by which the copy is older than the restore."""

JOIN_GAP: Final = 1.5
"""Seconds between the starts of the new upstreams."""

AWAY: Final = 1.0
"""Seconds for which the store is away during the drill."""

CALM: Final = 15.0
"""Seconds between the drill and the planned restart."""

RATE: Final = 30.0
"""Requests per second."""

BUSY_SHARE: Final = 0.8
"""Share of the requests that go to a quarter of the keys while upstreams are added."""

MAX_OVERLAP: Final = 0.5
"""Seconds for which OWNER lets two upstreams hold the same keys."""


async def async_play(deployment: Deployment, *, has_drill: bool) -> list[Overlap]:
    """Play the case; return the keys that two upstreams held for too long."""
    record, store = deployment.record, deployment.store
    await deployment.async_start(upstreams=10, routers=3)
    traffic = asyncio.create_task(deployment.async_send_traffic(RATE))
    await asyncio.sleep(4.0)
    copy = store.copy()
    record.say("copy made")
    deployment.busy_share = BUSY_SHARE
    joined = []
    for name in ("joined-1", "joined-2", "joined-3"):
        joined.append(await deployment.async_add_upstream(name))
        await asyncio.sleep(JOIN_GAP)
    if not all(upstream.holds for upstream in joined):
        raise CannotRunError("no keys moved to the new upstreams")
    await asyncio.sleep(COPY_AGE - AWAY - len(joined) * JOIN_GAP)
    deployment.busy_share = 0.0
    if has_drill:
        record.say("store is away")
        store.is_away = True
        await asyncio.sleep(AWAY)
        store.restore(copy)
        for upstream in joined:
            store.put("servers", upstream.name, upstream.entry())
        store.is_away = False
        record.say("store is back from the copy")
    await asyncio.sleep(CALM)
    leader = deployment.routers[deployment.leader()]
    record.say(f"SIGTERM to {leader.name}, which holds the lease")
    leader.is_in_rotation = False
    leader.send_signal(signal.SIGTERM)
    await leader.async_wait()
    await leader.async_start(bootstrap=False)
    record.say(f"{leader.name} is started again")
    await asyncio.sleep(8.0)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    overlaps = find_overlaps(list(deployment.upstreams.values()), time.monotonic())
    return [overlap for overlap in overlaps if overlap.seconds > MAX_OVERLAP]


def report(record: Record, deployment: Deployment, overlaps: list[Overlap]) -> int:
    """Record the result; return the exit status."""
    for overlap in overlaps:
        one, other = overlap.holders
        record.add(
            "held twice",
            key=overlap.key,
            seconds=round(overlap.seconds, 3),
            holders=[[one.upstream, one.fence], [other.upstream, other.fence]],
        )
    served = sum(answer == "200" for answer in deployment.answers.values())
    record.say(f"{served} of {len(deployment.answers)} requests got 200")
    if not overlaps:
        record.say("OWNER held: no key had two holders for over 0.5 s")
        return 0
    longest = max(overlap.seconds for overlap in overlaps)
    keys = len({overlap.key for overlap in overlaps})
    record.say(f"OWNER broken: {keys} of 256 keys had two holders, {longest:.1f} s")
    return 1


async def async_case(deployment: Deployment, *, has_trouble: bool) -> int:
    """Play the case and report its result; return the exit status."""
    overlaps = await async_play(deployment, has_drill=has_trouble)
    return report(deployment.record, deployment, overlaps)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_case))
