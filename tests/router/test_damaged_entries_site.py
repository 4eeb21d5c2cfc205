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
CALLS: Final = 40
KEY_STEP: Final = 1600
"""Distance of the keys that are called; together they cover all key ranges."""


def altered_entry(site: Site, name: str, old: bytes, new: bytes) -> bytes:
    """Return the entry of a target with some bytes replaced."""
    service = "desk" if site.targets_by_name[name].is_keyed else "vault"
    entry = json.dumps(site.targets_by_name[name].entry(service)).encode()
    assert old in entry
    return entry.replace(old, new)


def all_know_targets(site: Site, count: int) -> bool:
    """Return whether all instances know a number of targets."""
    return all(
        len(router._directory.targets_by_id) == count
        for router in site.routers_by_name.values()
    )


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


async def test_readable_copies_of_entries_end_no_live_target(site: Site) -> None:
    """Guards against live targets that get no requests after a copy of their entry.

    The newer of two entries at an address counted as proof that the other target had
    ended, although that target answered there.
    """
    before = set(site.routers_by_name["i0"]._directory.targets_by_id)
    for name in list(site.targets_by_name):
        copy = altered_entry(site, name, b'"v1"', b'"v2"')
        site.store.put_bytes("servers", f"x-{name}", copy)
    await site.async_wait(lambda: all_know_targets(site, 2 * len(before)))
    for number in range(CALLS):
        key = number * KEY_STEP
        assert (await site.async_call("/read/a", key=key)).status == 200
        assert (await site.async_call("/files/a", key=None)).status == 200
    copies = {f"x-{target}" for target in before}
    for router in site.routers_by_name.values():
        assert router._directory.replaced_ids == copies


async def test_target_at_the_address_of_a_crashed_one_is_served(site: Site) -> None:
    """Guards against requests to a target that has ended although it is listed.

    Its successor is asked who it is, so that no caller's request is spent on that.
    """
    crashed = site.targets_by_name["v0"]
    port = int(crashed.address.rpartition(":")[2])
    await crashed.async_unload()
    successor = site.make_target("v9", is_keyed=False)
    await successor.async_setup(port)
    site.targets_by_name["v9"] = successor
    site.store.put("servers", "v9", successor.entry("vault"))
    directory = site.routers_by_name["i0"]._directory
    await site.async_wait(lambda: directory.replaced_ids == {"v0"})
    for _ in range(CALLS):
        assert (await site.async_call("/files/a", key=None)).status == 200


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
