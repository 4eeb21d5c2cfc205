"""Integration tests with store entries of other writers that can't be read."""

from __future__ import annotations

import asyncio
import json
from typing import Final

import pytest

from tests.platform.damaged_entries import DAMAGED_CONTENTS
from tests.router.site import MAX_WAIT, Site

OTHER: Final = "x-other-writer"
RETRY_DELAY: Final = 0.1


def altered_entry(site: Site, name: str, old: bytes, new: bytes) -> bytes:
    """Return the entry of a target with some bytes replaced."""
    service = "desk" if site.targets_by_name[name].is_keyed else "vault"
    entry = json.dumps(site.targets_by_name[name].entry(service)).encode()
    assert old in entry
    return entry.replace(old, new)


async def restart_all(site: Site) -> None:
    """Kill all instances and start others in their place."""
    names = list(site.routers_by_name)
    for name in names:
        await site.async_remove_router(name)
    for name in names:
        await site.async_add_router(name, first_start=False)


async def assert_served(site: Site) -> None:
    """Assert that services with and without keys are served."""
    await site.async_wait(site.is_served)
    for path in ("/read/a", "/book/a", "/files/a"):
        async with asyncio.timeout(MAX_WAIT):
            while (await site.async_call(path)).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(RETRY_DELAY)


async def test_kill_beside_an_unescaped_control_character_is_survived(
    site: Site,
) -> None:
    """Guards against an outage after a kill of all instances (review/6).

    One entry with an unescaped tab made the list of all targets unreadable.
    """
    entry = altered_entry(site, "t1", b'"v1"', b'"v1\tbeta"')
    site.store.put_bytes("servers", OTHER, entry)
    await restart_all(site)
    await assert_served(site)


async def test_unreadable_copies_of_entries_end_no_live_target(site: Site) -> None:
    """Guards against live targets that count as replaced for good (review/7).

    Copies with a byte that is not UTF-8 counted as new targets at the same addresses.
    """
    for name in list(site.targets_by_name):
        copy = altered_entry(site, name, b'"v1"', b'"v1-b\xeata"')
        site.store.put_bytes("servers", f"x-{name}", copy)
    await restart_all(site)
    await assert_served(site)
    for router in site.routers_by_name.values():
        assert not router._directory.replaced_ids


async def test_unreadable_address_does_not_end_the_assigner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a keyed service that is never assigned (review/8).

    The lookup of an address that is not UTF-8 ended each assigner.
    """
    site = Site(monkeypatch)
    await site.store.async_setup()
    try:
        entry = site.make_target("t0", is_keyed=True).entry("desk")
        encoded = json.dumps(entry | {"address": "127.0.0.1*:8080"}).encode()
        site.store.put_bytes("servers", OTHER, encoded.replace(b"*", b"\xff"))
        await site.async_start(targets=3, routers=2)
        await assert_served(site)
    finally:
        await site.async_unload()


async def test_targets_are_followed_beside_damaged_entries(site: Site) -> None:
    """Guards against requests to targets that drain, and none to new ones.

    Any entry that broke the JSON of the list hid all others and all their changes.
    """
    for number, damaged in enumerate(DAMAGED_CONTENTS.values()):
        site.store.put_bytes("servers", f"{OTHER}-{number}", damaged)
    draining = site.targets_by_name["t0"].entry("desk", state="draining")
    site.store.put("servers", "t0", draining)
    await site.async_add_target("t9", "desk")
    await site.async_wait(lambda: site.is_owner("t9") and not site.is_owner("t0"))
    await restart_all(site)
    await assert_served(site)
