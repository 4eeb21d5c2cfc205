"""Tests of news between instances."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.stamp import Stamp
from tests.membership.fleet import (
    BY_HAND,
    PATIENCE,
    Fleet,
    async_known,
    make_object,
)

RECORD = "groups/desk/0"
CONFIG = "config/service/desk"
NOBODY_WATCHES = replace(BY_HAND, watchers_per_zone=0, silence_limit=3600.0)


async def test_published_object_reaches_everyone(fleet: Fleet) -> None:
    """Four instances in three zones know a version that one wrote."""
    await fleet.async_add("a-1", "a-2", "b-1", "c-1")
    fleet.members["a-1"].publish(make_object(RECORD, 2, 1))
    for member in fleet.members.values():
        await async_known(member.cache, RECORD, Stamp(2, 1))


async def test_large_body_is_sent_where_it_is_asked_for(fleet: Fleet) -> None:
    """An announced version arrives in whole."""
    await fleet.async_add("a-1", "b-1")
    obj = make_object(RECORD, 2, 1, size=3 * BY_HAND.push_size)
    fleet.members["a-1"].publish(obj)
    cache = fleet.members["b-1"].cache
    await async_known(cache, RECORD, Stamp(2, 1))
    assert cache.get(RECORD) == obj


async def test_older_news_is_not_adopted(fleet: Fleet) -> None:
    """An instance goes back to an earlier record.

    A push of the earlier version was delayed and arrives after the later one; its
    sender is a peer that was cut off. The stamp decides, not the time of arrival.
    """
    await fleet.async_add("a-1", "b-1")
    fleet.members["b-1"].publish(make_object(RECORD, 4, 0))
    late = fleet.members["a-1"]
    await late.news._pusher._async_send_to("b-1", [make_object(RECORD, 2, 9)])
    known = fleet.members["b-1"].cache.get(RECORD)
    assert known is not None
    assert known.stamp == Stamp(4, 0)


async def test_lost_push_is_repaired_by_the_next_comparison(fleet: Fleet) -> None:
    """An instance keeps an old record although nothing is cut off any more.

    Every push of a change was lost; nothing else would bring it until the object
    changes again. The digests differ and the comparison brings it, in whichever
    direction it runs.
    """
    await fleet.async_add("a-1", "b-1", "c-1", settings=NOBODY_WATCHES)
    fleet.loses_pushes = True
    fleet.members["a-1"].publish(make_object(RECORD, 2, 1))
    await fleet.members["b-1"].news.comparer.async_compare_with("a-1")
    assert RECORD in fleet.members["b-1"].cache.by_prefix("groups/")
    fleet.loses_pushes = False
    await fleet.members["b-1"].news.comparer.async_compare_with("c-1")
    await async_known(fleet.members["c-1"].cache, RECORD, Stamp(2, 1))


async def test_unreachable_neighbour_is_replaced(fleet: Fleet) -> None:
    """News reaches fewer instances after the loss of some.

    Some listed instances are lost and the list lags; the only neighbour chosen may
    be one of them. A spare one gets the news in its place.
    """
    settings = replace(NOBODY_WATCHES, fan_out=1, spares=3)
    await fleet.async_add("a-1", "b-1", settings=settings)
    for lost in ("c-1", "d-1", "e-1"):
        fleet.list_instance(lost)
    await fleet.async_refresh()
    for number in range(5):
        name = f"groups/desk/{number}"
        fleet.members["a-1"].publish(make_object(name, 2, 1))
        await async_known(fleet.members["b-1"].cache, name, Stamp(2, 1))


async def test_both_sides_of_a_healed_partition_agree(fleet: Fleet) -> None:
    """Two halves keep different versions after a partition.

    Each half changed objects while it could not reach the other; one object was
    changed on both sides. One comparison across evens them out, to the newest each.
    """
    await fleet.async_add("a-1", "b-1", settings=NOBODY_WATCHES)
    fleet.cut_off = {"b-1"}
    first, second = fleet.members["a-1"], fleet.members["b-1"]
    first.publish(make_object(RECORD, 4, 0))
    second.publish(make_object(RECORD, 3, 5))
    first.publish(make_object("groups/desk/1", 2, 1))
    second.publish(make_object("groups/desk/2", 2, 2))
    fleet.cut_off = set()
    await first.news.comparer.async_compare_with("b-1")
    assert first.cache.by_prefix("groups/") == second.cache.by_prefix("groups/")
    known = second.cache.get(RECORD)
    assert known is not None
    assert known.stamp == Stamp(4, 0)
    assert len(second.cache) == 3


async def test_round_of_repair_is_bounded_and_goes_on(fleet: Fleet) -> None:
    """A comparison brings a limited share; further ones bring the rest."""
    settings = replace(NOBODY_WATCHES, repair_size=5_000)
    await fleet.async_add("a-1", "b-1", settings=settings)
    fleet.loses_pushes = True
    for number in range(20):
        name = f"groups/desk/{number}"
        fleet.members["a-1"].publish(make_object(name, 2, size=1_000))
    comparer = fleet.members["b-1"].news.comparer
    sizes = []
    for _ in range(10):
        await comparer.async_compare_with("a-1")
        sizes.append(len(fleet.members["b-1"].cache))
    assert sizes[0] <= 5
    assert sizes[-1] == 20


async def test_failed_comparison_is_followed_by_another_soon(fleet: Fleet) -> None:
    """Repair slows down just when a zone is lost.

    The lost zone is still listed, so that many comparisons go to instances that are
    gone; each one would cost a whole interval, here an hour.
    """
    fleet.list_instance("b-1")
    await fleet.async_add("a-1", settings=NOBODY_WATCHES)
    comparer = fleet.members["a-1"].news.comparer
    assert comparer._next_delay() > 600.0
    await comparer.async_run_once()
    assert comparer._next_delay() < 1.0


async def test_object_beyond_the_limit_of_a_round_is_still_sent(fleet: Fleet) -> None:
    """A body larger than a round's limit travels alone."""
    settings = replace(NOBODY_WATCHES, repair_size=100)
    await fleet.async_add("a-1", "b-1", settings=settings)
    fleet.loses_pushes = True
    fleet.members["a-1"].publish(make_object(RECORD, 2, size=50_000))
    await fleet.members["b-1"].news.comparer.async_compare_with("a-1")
    assert fleet.members["b-1"].cache.get(RECORD) is not None


async def test_object_that_is_not_cached_is_ignored(fleet: Fleet) -> None:
    """Journals and the history of declarations are not spread."""
    await fleet.async_add("a-1", "b-1", settings=NOBODY_WATCHES)
    for name in ("journal/desk/0", "config/history/service/desk/3"):
        fleet.members["a-1"].publish(make_object(name, 7))
    fleet.members["a-1"].publish(make_object(CONFIG, 8))
    await async_known(fleet.members["b-1"].cache, CONFIG, Stamp(8, 0))
    await fleet.members["b-1"].news.comparer.async_compare_with("a-1")
    assert list(fleet.members["b-1"].cache.by_prefix("")) == [CONFIG]


async def test_start_during_an_outage_learns_from_peers(fleet: Fleet) -> None:
    """An instance that starts while the store is out knows nothing.

    It can't list the store; the others know every object; the comparison brings
    them, and the instance counts as loaded although the store never answered.
    """
    fleet.store.put(CONFIG)
    await fleet.async_add("a-1", "a-2", "a-3")
    await asyncio.wait_for(fleet.members["a-1"].async_wait_loaded(), PATIENCE)
    fleet.store.is_out = True
    await fleet.async_add("b-1")
    started = fleet.members["b-1"]
    assert not started.is_loaded
    await started.news.comparer.async_compare_with("a-1")
    assert started.is_loaded
    assert started.cache.get(CONFIG) is not None


async def test_peer_that_has_just_started_does_not_make_an_instance_loaded(
    fleet: Fleet,
) -> None:
    """Callers are told that a service does not exist, although it does.

    Two instances start while the store is out and both know the same one object;
    equal digests alone would make them take it for everything there is.
    """
    fleet.store.is_out = True
    await fleet.async_add("a-1", "b-1")
    for member in fleet.members.values():
        member.cache.adopt(make_object(CONFIG, 1))
    await fleet.members["a-1"].news.comparer.async_compare_with("b-1")
    assert not fleet.members["a-1"].is_loaded


async def test_start_during_an_outage_reads_the_store_when_it_is_back(
    fleet: Fleet,
) -> None:
    """With no peer to ask, the instance goes on trying."""
    fleet.store.put(CONFIG)
    fleet.store.is_out = True
    await fleet.async_add("a-1")
    fleet.store.is_out = False
    await asyncio.wait_for(fleet.members["a-1"].async_wait_loaded(), PATIENCE)
    assert fleet.members["a-1"].cache.get(CONFIG) is not None


async def test_restarted_instance_knows_everything_again(fleet: Fleet) -> None:
    """A new incarnation keeps nothing and learns a record the store does not have.

    A takeover during an outage is known to instances only; one of them restarts
    while the store still shows the earlier record. It must end with the later one.
    """
    fleet.store.put(RECORD, b'{"term": 2, "revision": 5}')
    await fleet.async_add("a-1", "b-1")
    fleet.members["a-1"].publish(make_object(RECORD, 3, 0))
    await async_known(fleet.members["b-1"].cache, RECORD, Stamp(3, 0))
    await fleet.async_stop("b-1", listed=True)
    await fleet.async_add("b-1", incarnation="b2")
    restarted = fleet.members["b-1"]
    await asyncio.wait_for(restarted.async_wait_loaded(), PATIENCE)
    await restarted.news.comparer.async_compare_with("a-1")
    await async_known(restarted.cache, RECORD, Stamp(3, 0))
    assert fleet.members["a-1"].directory.incarnations_by_name["b-1"] == "b2"


async def test_starting_instance_does_not_push_what_it_reads(fleet: Fleet) -> None:
    """A start does not cost as much as a change of every object."""
    for number in range(20):
        fleet.store.put(f"config/service/s{number}")
    await fleet.async_add("a-1", settings=NOBODY_WATCHES)
    member = fleet.members["a-1"]
    await asyncio.wait_for(member.async_wait_loaded(), PATIENCE)
    assert len(member.cache) == 20
    assert member.news._pusher._sources_by_name == {}


async def test_equal_caches_exchange_no_buckets(fleet: Fleet) -> None:
    """At rest a comparison is one short message each way."""
    await fleet.async_add("a-1", "b-1", settings=NOBODY_WATCHES)
    for member in fleet.members.values():
        member.cache.adopt(make_object(RECORD, 2, 1))
    before = fleet.members["b-1"].counters.sent_bytes
    await fleet.members["a-1"].news.comparer.async_compare_with("b-1")
    assert fleet.members["b-1"].counters.sent_bytes - before < 64


async def test_push_is_not_returned_to_its_sender(fleet: Fleet) -> None:
    """With two instances a change costs one message."""
    await fleet.async_add("a-1", "b-1", settings=NOBODY_WATCHES)
    pusher = fleet.members["b-1"].news._pusher
    await pusher.async_unload()
    fleet.members["a-1"].publish(make_object(RECORD, 2, 1))
    await async_known(fleet.members["b-1"].cache, RECORD, Stamp(2, 1))
    pusher._send_batch()
    assert not pusher._sends


async def test_task_that_fails_starts_again(caplog: pytest.LogCaptureFixture) -> None:
    """No news arrives any more, and nothing shows why.

    A task meets an error that nobody foresaw, such as nonsense in a list, and
    ends. The error is logged and the task starts anew.
    """
    runs: list[int] = []
    done = asyncio.Event()

    async def async_run() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError("unforeseen")
        done.set()
        await asyncio.Event().wait()

    task = BackgroundTask("test", restart_delay=0.0)
    task.start(async_run)
    await asyncio.wait_for(done.wait(), PATIENCE)
    await task.async_stop()
    assert "event=task_failed task=test" in caplog.text


def test_name_of_an_instance_id() -> None:
    """An id names the instance before its incarnation."""
    assert name_of("a-1/f00") == "a-1"
    assert name_of("a-1") == "a-1"
