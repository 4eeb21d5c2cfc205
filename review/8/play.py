"""An entry with an address that can't be read is in the store at the start."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

from review.support.load import serve, served_share
from review.support.site import (
    EXIT_BROKEN,
    EXIT_HELD,
    Site,
    route,
    run_case,
    service,
)
from review.support.upstream import Upstream

FOLDER = Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the play has its disruption; `TROUBLE=0` leaves it out."""

PATHS = ("/read/a",)
START_TIME = 15.0


async def play() -> int:
    """Play the case; return its exit status."""
    async with Site(FOLDER) as site:
        await site.configure(
            7, [service("desk", is_keyed=True)], [route("/read/", "safe", "desk")]
        )
        for number in range(6):
            desk = Upstream(f"i-{number}", "desk", site.record, is_keyed=True)
            await site.add_upstream(desk)
        if IS_TROUBLED:
            await write_unreadable_address(site)
        for number in range(2):
            site.add_router(f"front-{number}")
        for name in site.routers:
            await site.start_router(name)
        await asyncio.sleep(START_TIME)
        replies = await serve(site, 20.0, PATHS)
        text = f"{len(replies)} sent, share served {served_share(replies):.3f}"
        site.record.add(text)
        print(text)
    return EXIT_HELD if served_share(replies) else EXIT_BROKEN


async def write_unreadable_address(site: Site) -> None:
    """Write an entry with an address that is not UTF-8."""
    upstream = site.upstreams["i-0"]
    entry = json.dumps(upstream.entry()).encode()
    broken = entry.replace(upstream.address.encode(), b"127.0.0.1\xff:8080")
    await site.store.put("servers", "x-other-writer", broken)
    site.record.add(f"another writer writes servers/x-other-writer: {broken!r}")


if __name__ == "__main__":
    run_case(play)
