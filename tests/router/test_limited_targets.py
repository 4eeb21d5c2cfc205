"""Tests of running instances with targets that name a rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from itertools import count

from swiftpin.keyranges.const import KEY_COUNT
from tests.router.limit_window import max_requests, most_in_window
from tests.router.site import BOUNDS, Reply, Site

LIMIT = 2.0
MIN_USED_SHARE = 0.8
CALL_INTERVAL = 0.15
"""Seconds between two calls, far less than the limit allows."""


async def async_call_until(
    site: Site, path: str, keys: Sequence[int | None], end: float
) -> list[Reply]:
    """Send requests through all instances in turn until a time; return the replies."""
    loop = asyncio.get_running_loop()
    tasks = []
    for number in count():
        if loop.time() >= end:
            break
        via = f"i{number % len(site.routers_by_name)}"
        key = keys[number % len(keys)]
        tasks.append(asyncio.create_task(site.async_call(path, via=via, key=key)))
        await asyncio.sleep(CALL_INTERVAL)
    return await asyncio.gather(*tasks)


async def test_target_gets_no_more_than_the_rate_that_it_names(site: Site) -> None:
    """Failure: a target that named a rate limit still got all of its requests."""
    loop = asyncio.get_running_loop()
    target = site.targets_by_name["v0"]
    target.rate_limit = LIMIT
    named_at = loop.time()
    replies = await async_call_until(site, "/files/x", [None], named_at + 8.0)
    settled_at = named_at + BOUNDS.stability_period
    assert most_in_window(target.arrivals, settled_at) <= max_requests(LIMIT)
    in_last_window = sum(at > named_at + 4.0 for at in target.arrivals)
    assert in_last_window >= MIN_USED_SHARE * LIMIT * 4.0
    rejected = [reply for reply in replies if reply.status != 200]
    assert rejected
    for reply in rejected:
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert site.count_runs(reply.headers["id"]) == 0


async def test_keys_move_away_from_a_target_with_a_rate_limit(site: Site) -> None:
    """Failure: callers were rejected while targets without a limit had room."""
    loop = asyncio.get_running_loop()
    target = site.targets_by_name["t0"]
    keys = [key for key in range(0, KEY_COUNT, 997) if target.holds(key)]
    target.rate_limit = LIMIT / 2
    named_at = loop.time()
    await async_call_until(site, "/read/x", keys, named_at + 6.0)
    replies = await async_call_until(site, "/read/x", keys, named_at + 9.0)
    served = sum(reply.status == 200 for reply in replies)
    assert served >= 0.9 * len(replies)
    settled_at = named_at + BOUNDS.stability_period
    assert most_in_window(target.arrivals, settled_at) <= max_requests(LIMIT / 2)
