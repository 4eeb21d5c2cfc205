"""Tests of how instances follow the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from swiftpin.membership.stamp import Stamp
from tests.membership.fleet import BY_HAND, PATIENCE, Fleet, async_known, make_object

CONFIG = "config/service/desk"
RECORD = "groups/desk/0"


@pytest.fixture
async def watcher(fleet: Fleet) -> Fleet:
    """Return a fleet of one loaded instance, which watches the store."""
    await fleet.async_add("a-1")
    await asyncio.wait_for(fleet.members["a-1"].async_wait_loaded(), PATIENCE)
    return fleet


async def test_change_is_read(watcher: Fleet) -> None:
    """A watch brings a declaration and a record."""
    cache = watcher.members["a-1"].cache
    version = watcher.store.put(CONFIG)
    await async_known(cache, CONFIG, Stamp(version, 0))
    watcher.store.put(RECORD, b'{"term": 2, "revision": 1}')
    await async_known(cache, RECORD, Stamp(2, 1))


async def test_stale_read_is_read_again(watcher: Fleet) -> None:
    """An instance keeps the old version of a declaration.

    The watch tells of a change; the read that follows is stale and shows the
    version before; nothing else changes, so no further event comes. Since the event
    named a later version, the read is repeated until it shows it.
    """
    cache = watcher.members["a-1"].cache
    await async_known(cache, CONFIG, Stamp(watcher.store.put(CONFIG), 0))
    watcher.store.stale_reads = 3
    version = watcher.store.put(CONFIG)
    await async_known(cache, CONFIG, Stamp(version, 0))
    assert watcher.store.stale_reads == 0


async def test_object_that_cannot_be_read_does_not_hold_back_others(
    fleet: Fleet,
) -> None:
    """A declaration is in force late although the store has it.

    Another object is listed but can't be read; its next try is far off by now. The
    change of a declaration ends that wait.
    """
    settings = replace(BY_HAND, backoff_initial=3600.0, backoff_limit=3600.0)
    await fleet.async_add("a-1", settings=settings)
    member = fleet.members["a-1"]
    await asyncio.wait_for(member.async_wait_loaded(), PATIENCE)
    fleet.store.hidden = {RECORD}
    fleet.store.put(RECORD)
    for _ in range(2):
        await async_known(member.cache, CONFIG, Stamp(fleet.store.put(CONFIG), 0))


async def test_stale_read_does_not_undo_news(watcher: Fleet) -> None:
    """A record goes back after a peer brought its newer version.

    The store answers a read from an earlier state; its stamp is lower than that of
    the version in the cache, which stays.
    """
    member = watcher.members["a-1"]
    watcher.store.put(RECORD, b'{"term": 2, "revision": 1}')
    await async_known(member.cache, RECORD, Stamp(2, 1))
    member.publish(make_object(RECORD, 4, 0))
    watcher.store.put(RECORD, b'{"term": 2, "revision": 2}')
    watcher.store.put(CONFIG)
    await async_known(member.cache, CONFIG, Stamp(3, 0))
    known = member.cache.get(RECORD)
    assert known is not None
    assert known.stamp == Stamp(4, 0)


async def test_version_that_news_brought_is_not_read(watcher: Fleet) -> None:
    """The writer's news spares the watchers a read."""
    member = watcher.members["a-1"]
    obj = make_object(RECORD, 2, 1)
    member.publish(replace(obj, version=watcher.store.revision + 1))
    watcher.store.put(RECORD, obj.body)
    await async_known(member.cache, CONFIG, Stamp(watcher.store.put(CONFIG), 0))
    assert watcher.store.gets == 1


async def test_watch_that_is_too_old_lists_again(watcher: Fleet) -> None:
    """An instance misses changes after a long outage.

    The store is out; it drops its old events; the watch can't resume where it
    ended. The listing shows which objects changed in between.
    """
    store = watcher.store
    cache = watcher.members["a-1"].cache
    store.is_out = True
    version = store.put(CONFIG)
    store.events.clear()
    store.oldest_revision = store.revision
    store.is_out = False
    await async_known(cache, CONFIG, Stamp(version, 0))


async def test_malformed_record_does_not_stop_the_watch(watcher: Fleet) -> None:
    """An instance hears no further news after one bad record.

    Somebody writes a record without a term; it can't be ordered; it is logged and
    left out, and the next change arrives.
    """
    cache = watcher.members["a-1"].cache
    watcher.store.put(RECORD, b"nonsense")
    await async_known(cache, CONFIG, Stamp(watcher.store.put(CONFIG), 0))
    assert cache.get(RECORD) is None


async def test_only_some_instances_of_a_zone_watch(fleet: Fleet) -> None:
    """Two of five instances of a zone watch, the others get news from them."""
    names = [f"a-{number}" for number in range(5)]
    await fleet.async_add(*names)
    for member in fleet.members.values():
        await asyncio.wait_for(member.async_wait_loaded(), PATIENCE)
    watching = [m for m in fleet.members.values() if m.news.is_watcher()]
    assert len(watching) == 2
    version = fleet.store.put(CONFIG)
    for member in watching:
        await async_known(member.cache, CONFIG, Stamp(version, 0))
    for member in fleet.members.values():
        await member.news.comparer.async_compare_with(watching[0].news._name)
        assert member.cache.get(CONFIG) is not None


async def test_others_watch_when_the_watchers_are_gone(fleet: Fleet) -> None:
    """A zone hears nothing from the store any more.

    Both instances that watched for it are lost; the list shows it after its lag.
    From then on two others watch.
    """
    names = [f"a-{number}" for number in range(5)]
    await fleet.async_add(*names)
    lost = [name for name, m in fleet.members.items() if m.news.is_watcher()]
    for name in lost:
        await fleet.async_stop(name)
    watching = [m for m in fleet.members.values() if m.news.is_watcher()]
    assert len(watching) == 2
    version = fleet.store.put(CONFIG)
    for member in watching:
        await async_known(member.cache, CONFIG, Stamp(version, 0))


async def test_resting_instance_polls_when_no_watcher_lives(fleet: Fleet) -> None:
    """A change never arrives while the list still shows lost watchers.

    All watchers are lost and the list lags, so nobody takes over; the others notice
    that nobody heard from the store for long, and list it themselves.
    """
    settings = replace(BY_HAND, silence_limit=0.01, poll_interval=0.01)
    names = [f"a-{number}" for number in range(4)]
    await fleet.async_add(*names, settings=settings)
    lost = [name for name, m in fleet.members.items() if m.news.is_watcher()]
    for name in lost:
        await fleet.async_stop(name, listed=True)
    version = fleet.store.put(CONFIG)
    for member in fleet.members.values():
        assert not member.news.is_watcher()
        await async_known(member.cache, CONFIG, Stamp(version, 0))
