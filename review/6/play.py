"""All routers restart while one entry holds an unescaped control character."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

from review.support.load import serve, served_share
from review.support.site import (
    BOUNDS,
    EXIT_BROKEN,
    EXIT_HELD,
    NotRunError,
    Site,
    route,
    run_case,
    service,
)
from review.support.upstream import Upstream

FOLDER = Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the play has its disruption; `TROUBLE=0` leaves it out."""

PATHS = ("/read/a", "/files/a")
QUARTER = 0.25


async def play() -> int:
    """Play the case; return its exit status."""
    async with Site(FOLDER) as site:
        await site.configure(
            7,
            [service("desk", is_keyed=True), service("vault", is_keyed=False)],
            [route("/read/", "safe", "desk"), route("/files/", "download", "vault")],
        )
        for number in range(3):
            desk = Upstream(f"i-{number}", "desk", site.record, is_keyed=True)
            await site.add_upstream(desk)
            vault = Upstream(f"v-{number}", "vault", site.record, is_keyed=False)
            await site.add_upstream(vault)
        for number in range(2):
            site.add_router(f"front-{number}")
        for name in site.routers:
            await site.start_router(name)
        await site.wait_ready()
        if IS_TROUBLED:
            await write_entry_with_tab(site)
        before = served_share(await serve(site, 5.0, PATHS))
        if before < QUARTER:
            raise NotRunError(f"only {before:.2f} served before the final fault")
        await site.restart_all()
        await asyncio.sleep(BOUNDS["recovery_s"])
        after = served_share(await serve(site, 10.0, PATHS))
        text = f"served before the final fault {before:.3f}, after it {after:.3f}"
        site.record.add(text)
        print(text)
    return EXIT_BROKEN if after < QUARTER else EXIT_HELD


async def write_entry_with_tab(site: Site) -> None:
    """Write an entry whose version holds a tab that is not escaped."""
    entry = json.dumps(site.upstreams["i-1"].entry()).encode()
    broken = entry.replace(b'"v1"', b'"v1\tbeta"')
    await site.store.put("servers", "x-other-writer", broken)
    site.record.add(f"another writer writes servers/x-other-writer: {broken!r}")


if __name__ == "__main__":
    run_case(play)
