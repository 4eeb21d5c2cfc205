"""Tests of watches with hanging connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import cast

import pytest

from swiftpin.discovery import store_follower as follower_module
from swiftpin.discovery.store_follower import WATCH_WAIT, StoreFollower
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreUnavailableError
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import ObjectChanges, ObjectList
from swiftpin.platform.store_client import StoreClient
from tests.discovery.conftest import removed

TIMEOUT = 5.0


@dataclass(kw_only=True)
class FakeStore:
    """Fake store; a watch hangs until the queue of answers has one."""

    answers: asyncio.Queue[ObjectChanges | StoreUnavailableError] = field(
        default_factory=asyncio.Queue
    )
    waits: asyncio.Queue[float] = field(default_factory=asyncio.Queue)
    """Requested wait of each watch in seconds."""

    watched_from: list[int] = field(default_factory=list)

    async def async_list(self, kind: str) -> ObjectList:
        """Return an empty list."""
        return ObjectList(objects=(), revision=1, has_more=False)

    async def async_watch(
        self, kind: str, revision: int, wait: float, *, grace: float = 1.0
    ) -> ObjectChanges:
        """Return or raise the next queued answer."""
        self.watched_from.append(revision)
        self.waits.put_nowait(wait)
        answer = await self.answers.get()
        if isinstance(answer, StoreUnavailableError):
            raise answer
        return answer


@dataclass(kw_only=True)
class FakeNeighbours:
    """Fake neighbours whose reports are set by the test."""

    confirms: bool = True
    store_reports: int = 0

    def is_confirmed(self) -> bool:
        """Return whether a neighbour confirms the known state."""
        return self.confirms


@dataclass(kw_only=True)
class RecordingFollower:
    """Follower that records the adopted changes."""

    changes: asyncio.Queue[tuple[tuple[PlatformObject, ...], bool]] = field(
        default_factory=asyncio.Queue
    )
    known_revision: int = 0

    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Ignore a list."""

    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Record changes."""
        self.changes.put_nowait((objects, is_catching_up))

    def resume_revision(self, revision: int) -> int | None:
        """Return the revision reported by a neighbour, if it is later."""
        return max(revision, self.known_revision)


@pytest.fixture(autouse=True)
def short_delays_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten all checks and delays."""
    monkeypatch.setattr(follower_module, "CHECK_INTERVAL", 0.001)
    monkeypatch.setattr(follower_module, "CHANGE_DELAY", 0.0)
    monkeypatch.setattr(follower_module, "MIN_RETRY_DELAY", 0.0)
    monkeypatch.setattr(follower_module, "SKIP_CHECK_INTERVAL", 0.0)


@pytest.fixture(name="store")
def store_fixture() -> FakeStore:
    """Return a store without queued answers."""
    return FakeStore()


@pytest.fixture(name="health")
def health_fixture() -> StoreHealth:
    """Return the health of a store that is available."""
    return StoreHealth()


@pytest.fixture(name="neighbours")
def neighbours_fixture() -> FakeNeighbours:
    """Return neighbours that confirm the known state."""
    return FakeNeighbours()


@pytest.fixture(name="recorder")
async def recorder_fixture(
    store: FakeStore, health: StoreHealth, neighbours: FakeNeighbours
) -> AsyncIterator[RecordingFollower]:
    """Run a store follower and yield the recorder of its changes."""
    recorder = RecordingFollower()
    follower = StoreFollower(
        "kind", cast(StoreClient, store), recorder, health, neighbours=neighbours
    )
    task = asyncio.create_task(follower.async_run())
    yield recorder
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def next_wait(store: FakeStore) -> float:
    """Return the requested wait of the next watch in seconds."""
    async with asyncio.timeout(TIMEOUT):
        return await store.waits.get()


async def test_watch_is_restarted_when_neighbours_stop_confirming(
    store: FakeStore, neighbours: FakeNeighbours, recorder: RecordingFollower
) -> None:
    """Guards against requests to a target that left seconds ago.

    The connection of the watch hangs, and the neighbour that would report the removal
    freezes. The follower waited 15 seconds for the watch to end.
    """
    assert await next_wait(store) == WATCH_WAIT
    neighbours.confirms = False
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(ObjectChanges(objects=(removed("a", 4),), revision=4))
    async with asyncio.timeout(TIMEOUT):
        objects, is_catching_up = await recorder.changes.get()
    assert objects == (removed("a", 4),)
    assert is_catching_up


async def test_watch_from_before_an_outage_is_restarted(
    store: FakeStore, health: StoreHealth, recorder: RecordingFollower
) -> None:
    """Guards against missing all changes for seconds after the store's return.

    Another call detects that the store was lost and recovered, while a watch from
    before the outage is pending. The follower kept waiting for its answer, which was
    lost.
    """
    assert await next_wait(store) == WATCH_WAIT
    health.record_failure("unavailable", 10.0)
    health.record_answer(12.0)
    assert await next_wait(store) < 1.0


async def test_watch_is_restarted_when_a_neighbour_loses_the_store(
    store: FakeStore, neighbours: FakeNeighbours, recorder: RecordingFollower
) -> None:
    """Guards against an outage missed by an instance that only watches the store.

    The lease holder detects the outage immediately, but instances that only watch
    confirm to each other that nothing is new. Their watches ignored the report of the
    holder.
    """
    assert await next_wait(store) == WATCH_WAIT
    neighbours.store_reports += 1
    assert await next_wait(store) < 1.0


async def test_answered_watch_is_followed_by_a_long_one(
    store: FakeStore, neighbours: FakeNeighbours, recorder: RecordingFollower
) -> None:
    """Each call has a cost, so few are made in normal operation."""
    assert await next_wait(store) == WATCH_WAIT
    neighbours.store_reports += 1
    await next_wait(store)
    store.answers.put_nowait(ObjectChanges(objects=(), revision=4))
    assert await next_wait(store) == WATCH_WAIT


async def test_watches_are_short_until_the_store_answers_again(
    store: FakeStore, health: StoreHealth, recorder: RecordingFollower
) -> None:
    """Guards against detecting the store's return 15 seconds late.

    A watch started during the outage may hang after the store's return. Watches waited
    as long during an outage as at other times.
    """
    await next_wait(store)
    health.record_failure("unavailable", 10.0)
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(StoreUnavailableError("silent"))
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(ObjectChanges(objects=(), revision=4))
    assert await next_wait(store) == WATCH_WAIT
    assert not health.is_lost


@dataclass(kw_only=True)
class FakeDuty:
    """Fake duty that is set by the test."""

    others_watch: bool = False

    def is_skipped(self) -> bool:
        """Return whether other instances watch."""
        return self.others_watch

    def max_retry_delay(self, min_delay: float) -> float:
        """Return the given delay."""
        return min_delay


async def test_watch_resumes_at_the_revision_reported_by_others(
    store: FakeStore, health: StoreHealth
) -> None:
    """Guards against resuming at an old revision whose history is gone."""
    recorder, duty = RecordingFollower(known_revision=40), FakeDuty(others_watch=True)
    follower = StoreFollower(
        "kind", cast(StoreClient, store), recorder, health, duty=duty
    )
    task = asyncio.create_task(follower.async_run())
    try:
        await asyncio.sleep(0.01)
        assert store.waits.empty()
        duty.others_watch = False
        await next_wait(store)
        assert store.watched_from == [40]
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
