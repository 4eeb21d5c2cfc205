"""Tests of whole instances whose targets start again under the names they had."""

from __future__ import annotations

from swiftpin.keyranges.const import KEYS
from tests.router.site import Site

SAMPLE = range(0, KEYS, 997)


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
