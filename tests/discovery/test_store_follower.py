"""Tests of watches that fall silent."""

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

LIMIT = 5.0


@dataclass(kw_only=True)
class ScriptedStore:
    """Answers the list, and watches from a queue; a watch without one hangs."""

    answers: asyncio.Queue[ObjectChanges | StoreUnavailableError] = field(
        default_factory=asyncio.Queue
    )
    waits: asyncio.Queue[float] = field(default_factory=asyncio.Queue)
    """How long each watch was to wait."""

    watched_from: list[int] = field(default_factory=list)

    async def async_list(self, kind: str) -> ObjectList:
        """Return no objects."""
        return ObjectList(objects=(), revision=1, has_more=False)

    async def async_watch(
        self, kind: str, revision: int, wait: float, *, grace: float = 1.0
    ) -> ObjectChanges:
        """Return the next answer."""
        self.watched_from.append(revision)
        self.waits.put_nowait(wait)
        answer = await self.answers.get()
        if isinstance(answer, StoreUnavailableError):
            raise answer
        return answer


@dataclass(kw_only=True)
class ScriptedNeighbours:
    """Says of the store what the test wants."""

    is_heard: bool = True
    store_reports: int = 0

    def is_confirmed(self) -> bool:
        """Return whether a neighbour is heard."""
        return self.is_heard


@dataclass(kw_only=True)
class Taken:
    """Keeps what was adopted."""

    changes: asyncio.Queue[tuple[tuple[PlatformObject, ...], bool]] = field(
        default_factory=asyncio.Queue
    )
    known_revision: int = 0

    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Pass a list over."""

    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Keep changes."""
        self.changes.put_nowait((objects, is_catching_up))

    def resume_revision(self, revision: int) -> int | None:
        """Return the revision that a neighbour told."""
        return max(revision, self.known_revision)


@pytest.fixture(autouse=True)
def short_pauses_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let looks and pauses follow each other at once."""
    monkeypatch.setattr(follower_module, "LOOK_PAUSE", 0.001)
    monkeypatch.setattr(follower_module, "CHANGE_PAUSE", 0.0)
    monkeypatch.setattr(follower_module, "FIRST_PAUSE", 0.0)
    monkeypatch.setattr(follower_module, "SKIP_PAUSE", 0.0)


@pytest.fixture(name="store")
def store_fixture() -> ScriptedStore:
    """Return a store that gives no answers yet."""
    return ScriptedStore()


@pytest.fixture(name="health")
def health_fixture() -> StoreHealth:
    """Return a store that answers."""
    return StoreHealth()


@pytest.fixture(name="neighbours")
def neighbours_fixture() -> ScriptedNeighbours:
    """Return neighbours that are heard."""
    return ScriptedNeighbours()


@pytest.fixture(name="taken")
async def taken_fixture(
    store: ScriptedStore, health: StoreHealth, neighbours: ScriptedNeighbours
) -> AsyncIterator[Taken]:
    """Run a follower and return what it takes."""
    taken = Taken()
    follower = StoreFollower(
        "kind", cast(StoreClient, store), taken, health, neighbours=neighbours
    )
    task = asyncio.create_task(follower.async_run())
    yield taken
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def next_wait(store: ScriptedStore) -> float:
    """Return how long the next watch is to wait."""
    async with asyncio.timeout(LIMIT):
        return await store.waits.get()


async def test_watch_is_made_anew_when_neighbours_fall_silent(
    store: ScriptedStore, neighbours: ScriptedNeighbours, taken: Taken
) -> None:
    """Symptom: one instance sent to a target for seconds after it had left.

    Sequence: its watch's connection had fallen silent; the neighbour that would have
    told it of the removal froze. Cause: the watch was waited for to its end, 15 s.
    """
    assert await next_wait(store) == WATCH_WAIT
    neighbours.is_heard = False
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(ObjectChanges(objects=(removed("a", 4),), revision=4))
    async with asyncio.timeout(LIMIT):
        objects, is_catching_up = await taken.changes.get()
    assert objects == (removed("a", 4),)
    assert is_catching_up


async def test_watch_from_before_an_outage_is_made_anew(
    store: ScriptedStore, health: StoreHealth, taken: Taken
) -> None:
    """Symptom: an instance knew of no change for seconds after the store's return.

    Sequence: the store fell silent and came back; another call told this instance so,
    while its watch from before still waited. Cause: a lost and regained store did not
    touch the watch, whose answer could not come any more.
    """
    assert await next_wait(store) == WATCH_WAIT
    health.record_failure("away", 10.0)
    health.record_answer(12.0)
    assert await next_wait(store) < 1.0


async def test_watch_is_made_anew_when_a_neighbour_loses_the_store(
    store: ScriptedStore, neighbours: ScriptedNeighbours, taken: Taken
) -> None:
    """Symptom: an instance that asks the store for nothing else missed an outage.

    Sequence: the store fell silent; the holder of the lease noticed at once; others
    only watched, and confirmed to each other that nothing was new. Cause: what
    neighbours said of the store did not touch the watch.
    """
    assert await next_wait(store) == WATCH_WAIT
    neighbours.store_reports += 1
    assert await next_wait(store) < 1.0


async def test_answered_watch_is_followed_by_a_long_one(
    store: ScriptedStore, neighbours: ScriptedNeighbours, taken: Taken
) -> None:
    """Each call is paid for: in calm times there are few."""
    assert await next_wait(store) == WATCH_WAIT
    neighbours.store_reports += 1
    await next_wait(store)
    store.answers.put_nowait(ObjectChanges(objects=(), revision=4))
    assert await next_wait(store) == WATCH_WAIT


async def test_watches_are_short_until_the_store_answers_again(
    store: ScriptedStore, health: StoreHealth, taken: Taken
) -> None:
    """Symptom: an instance saw the store's return 15 s late.

    Sequence: a watch that was made while the store was silent hung after its return.
    Cause: watches in an outage waited as long as others.
    """
    await next_wait(store)
    health.record_failure("away", 10.0)
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(StoreUnavailableError("silent"))
    assert await next_wait(store) < 1.0
    store.answers.put_nowait(ObjectChanges(objects=(), revision=4))
    assert await next_wait(store) == WATCH_WAIT
    assert not health.is_lost


@dataclass(kw_only=True)
class ScriptedDuty:
    """Says whether others watch."""

    is_others: bool = False

    def is_skipped(self) -> bool:
        """Return whether others watch."""
        return self.is_others

    def max_retry_delay(self, min_delay: float) -> float:
        """Return the usual pause."""
        return min_delay


async def test_watch_goes_on_from_what_others_told(
    store: ScriptedStore, health: StoreHealth
) -> None:
    """A watch from a revision of minutes ago met a history that was gone."""
    taken, duty = Taken(known_revision=40), ScriptedDuty(is_others=True)
    follower = StoreFollower("kind", cast(StoreClient, store), taken, health, duty=duty)
    task = asyncio.create_task(follower.async_run())
    try:
        await asyncio.sleep(0.01)
        assert store.waits.empty()
        duty.is_others = False
        await next_wait(store)
        assert store.watched_from == [40]
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
