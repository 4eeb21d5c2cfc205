"""Fixtures of the tests of dispatch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest
import pytest_asyncio

from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.begin_request import BeginRequest
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.ownership.group_id import GroupId
from tests.dispatch.fake_store import FakeStore

GROUP = GroupId(service="desk", group=1)
PAGE = "journal/desk/1"
WALL = WallClock(offset=1_000_000.0)
MAX_TURNS = 10_000


@dataclass(kw_only=True, slots=True)
class FakeClock:
    """Monotonic seconds that only the test moves."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Return the present time."""
        return self.now


@dataclass(kw_only=True, slots=True)
class JournalMaker:
    """Makes journals of one group on one store, and closes them at the end."""

    store: JournalStore
    clock: FakeClock
    settings: JournalSettings = field(
        default_factory=lambda: JournalSettings(
            min_interval=0.0,
            begin_limit=60.0,
            finish_limit=60.0,
            retry_base=0.0,
            retry_cap=0.0,
        )
    )
    lease_end: float = float("inf")
    made: list[IdempotencyJournal] = field(default_factory=list)

    def make(self, holder: str, **changes: object) -> IdempotencyJournal:
        """Return a journal that is not open yet."""
        settings = replace(self.settings, **changes)  # type: ignore[arg-type]
        journal = IdempotencyJournal(
            self.store,
            GROUP,
            holder,
            settings,
            Random(holder),
            is_confirmed=lambda now: now < self.lease_end,
            wall=WALL,
            clock=self.clock,
        )
        self.made.append(journal)
        return journal

    async def async_open(
        self, holder: str, term: int, **changes: object
    ) -> IdempotencyJournal:
        """Return a journal opened at a term."""
        journal = self.make(holder, **changes)
        await journal.async_open(term, self.clock.now)
        return journal

    async def async_close(self) -> None:
        """Stop all journals."""
        for journal in self.made:
            await journal._writer.async_stop()


@pytest.fixture
def clock() -> FakeClock:
    """Return a clock that stands still."""
    return FakeClock()


@pytest.fixture
def store() -> FakeStore:
    """Return an empty store."""
    return FakeStore()


@pytest_asyncio.fixture
async def journals(store: FakeStore, clock: FakeClock) -> AsyncIterator[JournalMaker]:
    """Return a maker of journals."""
    maker = JournalMaker(store=store, clock=clock)
    yield maker
    await maker.async_close()


def begin_request(key: str = "key-1", **changes: object) -> BeginRequest:
    """Return a request to begin."""
    request = BeginRequest(
        key=key, fingerprint=f"print-{key}", request_id="r-1", deadline=2000.0
    )
    return replace(request, **changes)  # type: ignore[arg-type]


def answered(body: bytes = b"booked") -> Answered:
    """Return the outcome of a request that a target answered."""
    return Answered(
        status=201,
        headers=(("Content-Type", "text/plain"),),
        body=body,
        body_digest="0f",
        body_length=len(body),
    )


async def async_until(reached: Callable[[], bool]) -> None:
    """Let tasks run until a condition holds; fail when they never reach it."""
    for _ in range(MAX_TURNS):
        if reached():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition was never reached")
