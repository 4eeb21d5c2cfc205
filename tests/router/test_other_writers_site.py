"""Tests of a whole small site with entries that other writers left."""

from __future__ import annotations

from typing import Any

import pytest

from tests.router.site import Site


def spoilt_entries(good: dict[str, Any]) -> list[object]:
    """Return contents that name no target."""
    return [
        None,
        "text",
        [1, 2],
        {},
        good | {"status": None},
        good | {"status": good["status"] | {"state": "resting"}},
        good | {"information": good["information"] | {"slots": "many"}},
        good | {"address": 7},
        good | {"born": "today"},
    ]


async def test_site_goes_on_beside_spoilt_entries(site: Site) -> None:
    """Symptom: no change of any target was learnt any more.

    Sequence: another writer left entries that can't be read; later a target registered.
    Cause: one malformed entry made all changes of a watch count as no answer.
    """
    good = site.targets_by_name["t0"].entry("desk")
    for number, spoilt in enumerate(spoilt_entries(good)):
        site.store.put("servers", f"x{number}", spoilt)
    await site.async_add_target("t9", "desk")
    await site.async_wait(lambda: site.is_owner("t9"))
    for router in site.routers_by_name.values():
        assert not router._health.is_lost
        assert not {f"x{number}" for number in range(9)} & set(
            router._directory.targets_by_id
        )
    reply = await site.async_call("/read/a")
    assert reply.status == 200


async def test_keys_of_a_target_whose_entry_is_spoilt_move(site: Site) -> None:
    """Symptom: requests for some keys failed for as long as an entry was spoilt.

    Sequence: another writer replaced the entry of a target that owns keys.
    Cause: the target was neither used nor released.
    """
    site.store.put("servers", "t0", {"address": 7})
    await site.async_wait(lambda: not site.is_owner("t0"))
    await site.async_wait(site.is_served)
    for key in (0, 20_000, 40_000, 65_535):
        reply = await site.async_call("/read/a", key=key)
        assert reply.status == 200


@pytest.mark.parametrize("name", ["", "\ud800"])
async def test_odd_names_do_not_stop_the_watch(site: Site, name: str) -> None:
    """The name is where such an entry can't even be told from others."""
    site.store.put("servers", name, {})
    await site.async_add_target("t9", "desk")
    await site.async_wait(lambda: site.is_owner("t9"))
