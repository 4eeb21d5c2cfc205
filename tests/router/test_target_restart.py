"""Tests of running instances whose targets restart under the same names."""

from __future__ import annotations

import asyncio

from swiftpin.keyranges.const import KEY_COUNT, MIN_REGULAR_HOLD
from tests.router.site import Site

SAMPLE = range(0, KEY_COUNT, 997)


def owners(site: Site, key: int) -> list[str]:
    """Return the targets that hold a key."""
    return [name for name, t in site.targets_by_name.items() if t.holds(key)]


async def test_new_life_gets_its_keys_under_higher_fences(site: Site) -> None:
    """Failure: a target accepted keys under a fence of its earlier life.

    A target restarted at once with the same name and address, and registered without
    the time of its start. The next renewal was sent over a new connection, and the new
    life accepted it, since it knew no fences. A renewal repeated the fence of the grant
    even if it could reach another life.
    """
    target = site.targets_by_name["t0"]
    keys = [key for key in SAMPLE if target.holds(key)]
    await target.async_restart()
    await site.async_wait(lambda: all(target.holds(key) for key in keys))
    assert target.granted_fences
    assert target.reused_fences() == []


async def test_successor_gives_a_new_life_higher_fences(site: Site) -> None:
    """Failure: a target accepted keys under a fence of its earlier life.

    The assigner was killed, and a target restarted before another assigner took over.
    The successor renewed the grants under the recorded fences.
    """
    target = site.targets_by_name["t0"]
    keys = [key for key in SAMPLE if target.holds(key)]
    await site.async_remove_router(site.leader())
    await target.async_restart()
    await site.async_wait(lambda: all(target.holds(key) for key in keys))
    assert target.reused_fences() == []


async def test_restarted_target_serves_again_before_its_earlier_grants_end(
    site: Site,
) -> None:
    """Failure: keys were not served until the grants of an ended life expired.

    A target restarted at once without notice to the assigner, and a refused or broken
    control call was not followed by a new grant.
    """
    target = site.targets_by_name["t0"]
    key = next(key for key in SAMPLE if target.holds(key))
    await target.async_restart()
    await site.async_wait(lambda: target.holds(key))
    assert (await site.async_call("/read/x", key=key)).status == 200


async def test_keys_of_a_known_restart_move_without_a_wait(
    site: Site,
) -> None:
    """Failure: two targets held the same keys, or keys waited for an ended life.

    A target restarted without notice and was granted keys under new fences; then it
    registered with the time of its start. This known restart was mistaken for the end
    of all grants to its name, or for the loss of a target whose grants must be waited
    out.
    """
    target = site.targets_by_name["t0"]
    keys = [key for key in SAMPLE if target.holds(key)]
    await target.async_restart(born=2)
    await site.async_wait(lambda: all(target.holds(key) for key in keys))
    site.store.put("servers", "t0", target.entry("desk"))
    loop = asyncio.get_running_loop()
    known_at = loop.time()

    def is_moved() -> bool:
        held = [len(owners(site, key)) for key in SAMPLE]
        assert max(held) <= 1
        return min(held) == 1 and site.is_served() and not site.is_owner("t0")

    await site.async_wait(is_moved)
    assert loop.time() - known_at < MIN_REGULAR_HOLD / 2
    await site.async_wait(lambda: site.is_owner("t0@2"))
    assert target.reused_fences() == []
    assert not site.is_owner("t0")
    for key in keys:
        assert (await site.async_call("/read/x", key=key)).status == 200


async def test_target_that_restarts_repeatedly_gets_rising_fences(
    site: Site,
) -> None:
    """Each life gets fences above those of all earlier lives."""
    target = site.targets_by_name["t0"]
    for _ in range(3):
        await target.async_restart()
        await site.async_wait(lambda: bool(target.granted_fences))
        assert target.reused_fences() == []
