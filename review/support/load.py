"""Steady load on all routes of a site."""

from __future__ import annotations

import asyncio

from review.support.site import Reply, Site

KEYS = range(0, 65536, 4096)
PAUSE = 0.5


async def serve(site: Site, seconds: float, paths: tuple[str, ...]) -> list[Reply]:
    """Send safe requests for some seconds; return the replies.

    Each round sends one request for each of sixteen keys and each path to each router.
    """
    until = site.record.now + seconds
    replies: list[Reply] = []
    while site.record.now < until:
        replies += await asyncio.gather(
            *(
                site.call(name, "GET", path, key=key)
                for name in site.routers
                for key in KEYS
                for path in paths
            )
        )
        await asyncio.sleep(PAUSE)
    return replies


def served_share(replies: list[Reply]) -> float:
    """Return the share of the requests that were answered with success."""
    served = sum(200 <= reply.status < 300 for reply in replies)
    return served / max(len(replies), 1)
