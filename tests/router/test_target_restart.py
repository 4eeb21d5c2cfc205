"""Tests of whole instances whose targets start again under the names they had."""

from __future__ import annotations

import asyncio

from swiftpin.keyranges.const import KEY_COUNT, MIN_REGULAR_HOLD
from tests.router.site import Site

SAMPLE = range(0, KEY_COUNT, 997)


def owners(site: Site, key: int) -> list[str]:
    """Return the targets that hold a key."""
    return [name for name, t in site.targets_by_name.items() if t.holds(key)]


async def test_new_life_gets_its_keys_under_higher_fences(site: Site) -> None:
    """Symptom: a target took keys under a fence that its earlier life had.

    Sequence: a target ended and started again at once, under its name and at its
    address, and registered without the time of its start; the next renewal was sent
    over a new connection, and the new life took it, since it knew no fence.
    Cause: a renewal repeated the fence of the grant, whoever it was to reach.
    """
    target = site.targets_by_name["t0"]
    keys = [key for key in SAMPLE if target.holds(key)]
    await target.async_restart()
    await site.async_wait(lambda: all(target.holds(key) for key in keys))
    assert target.granted_fences
    assert target.reused_fences() == []


async def test_successor_gives_a_new_life_higher_fences(site: Site) -> None:
    """Symptom: a target took keys under a fence that its earlier life had.

    Sequence: the assigner was killed; before another took over, a target started again.
    Cause: the successor renewed under the fences that it found in the record.
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
    """Symptom: keys were unserved until the grants of a life that was gone ended.

    Sequence: a target started again at once; nothing told the assigner.
    Cause: a refused or broken call was not followed by a new grant.
    """
    target = site.targets_by_name["t0"]
    key = next(key for key in SAMPLE if target.holds(key))
    await target.async_restart()
    await site.async_wait(lambda: target.holds(key))
    assert (await site.async_call("/read/x", key=key)).status == 200


async def test_keys_of_a_known_restart_move_without_a_wait(
    site: Site,
) -> None:
    """Symptom: two targets held the same keys, or keys waited for a life that ended.

    Sequence: a target started again and was given keys under new fences, since nothing
    told of its start; then it registered with the time of its start.
    Cause: a known restart was taken for the end of all grants to its name, or for the
    loss of a target whose grants must be waited out.
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
    """Each life gets fences above those of all lives before it."""
    target = site.targets_by_name["t0"]
    for _ in range(3):
        await target.async_restart()
        await site.async_wait(lambda: bool(target.granted_fences))
        assert target.reused_fences() == []
