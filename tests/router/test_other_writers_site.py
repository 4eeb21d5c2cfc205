"""Integration tests with malformed store entries of other writers."""

from __future__ import annotations

from typing import Any

import pytest

from tests.router.site import Site


def malformed_entries(valid: dict[str, Any]) -> list[object]:
    """Return entry contents that do not describe a valid target."""
    return [
        None,
        "text",
        [1, 2],
        {},
        valid | {"status": None},
        valid | {"status": valid["status"] | {"state": "resting"}},
        valid | {"information": valid["information"] | {"slots": "many"}},
        valid | {"address": 7},
        valid | {"born": "today"},
    ]


async def test_site_tolerates_malformed_entries(site: Site) -> None:
    """Guards against one malformed entry that hides all later target changes.

    A watch answer that contained such an entry counted as no answer.
    """
    valid = site.targets_by_name["t0"].entry("desk")
    for number, malformed in enumerate(malformed_entries(valid)):
        site.store.put("servers", f"x{number}", malformed)
    await site.async_add_target("t9", "desk")
    await site.async_wait(lambda: site.is_owner("t9"))
    for router in site.routers_by_name.values():
        assert not router._health.is_lost
        assert not {f"x{number}" for number in range(9)} & set(
            router._directory.targets_by_id
        )
    reply = await site.async_call("/read/a")
    assert reply.status == 200


async def test_keys_of_a_target_with_a_malformed_entry_move(site: Site) -> None:
    """Guards against failing requests for keys whose owner has a malformed entry.

    Another writer replaced the entry, and the target was neither used nor released.
    """
    site.store.put("servers", "t0", {"address": 7})
    await site.async_wait(lambda: not site.is_owner("t0"))
    await site.async_wait(site.is_served)
    for key in (0, 20_000, 40_000, 65_535):
        reply = await site.async_call("/read/a", key=key)
        assert reply.status == 200


@pytest.mark.parametrize("name", ["", "\ud800"])
async def test_unusual_names_do_not_stop_the_watch(site: Site, name: str) -> None:
    """The watch must also tolerate an entry whose name itself is invalid."""
    site.store.put("servers", name, {})
    await site.async_add_target("t9", "desk")
    await site.async_wait(lambda: site.is_owner("t9"))
