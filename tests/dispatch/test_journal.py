"""Tests of the idempotency journal without faults."""

from __future__ import annotations

import asyncio

import pytest

from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.exceptions import JournalFullError
from swiftpin.dispatch.joined import Joined
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.replayed import Replayed
from swiftpin.dispatch.unknown import Unknown
from swiftpin.exceptions import (
    BadHeaderError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    RequestTooLargeError,
)
from tests.dispatch.conftest import (
    PAGE,
    FakeClock,
    JournalMaker,
    answered,
    begin_request,
)
from tests.dispatch.fake_store import FakeStore


async def test_begin_is_durable(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """The record is durable before the request may run."""
    journal = await journals.async_open("a/1", 2)
    result = await journal.async_begin(begin_request(), clock.now)
    assert result == Begun(key="key-1", durable=True)
    assert b"key-1" in store.objects_by_name[PAGE].body


async def test_replay(journals: JournalMaker, clock: FakeClock) -> None:
    """A resend gets the recorded answer."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    assert await journal.async_finish("key-1", answered(), clock.now)
    result = await journal.async_begin(begin_request(request_id="r-2"), clock.now)
    assert result == Replayed(answer=answered())


async def test_joined_resends(journals: JournalMaker, clock: FakeClock) -> None:
    """Resends wait for the running request."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    first = await journal.async_begin(begin_request(), clock.now)
    second = await journal.async_begin(begin_request(), clock.now)
    assert isinstance(first, Joined)
    assert isinstance(second, Joined)
    leaving = asyncio.create_task(first.async_outcome())
    await asyncio.sleep(0)
    leaving.cancel()
    await journal.async_finish("key-1", answered(), clock.now)
    assert await second.async_outcome() == answered()


async def test_key_reused(journals: JournalMaker, clock: FakeClock) -> None:
    """Another request under the same key is refused."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    with pytest.raises(IdempotencyKeyReusedError):
        await journal.async_begin(begin_request(fingerprint="other"), clock.now)


async def test_not_run_is_erased(journals: JournalMaker, clock: FakeClock) -> None:
    """A request that was not run may begin again."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_finish("key-1", NotRun(), clock.now)
    result = await journal.async_begin(begin_request(), clock.now)
    assert isinstance(result, Begun)


async def test_unknown_is_final(journals: JournalMaker, clock: FakeClock) -> None:
    """An unknown outcome is never run again."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_finish("key-1", Unknown(), clock.now)
    with pytest.raises(OutcomeUnknownError):
        await journal.async_begin(begin_request(), clock.now)


async def test_group_commit(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """Many requests share one write."""
    journal = await journals.async_open("a/1", 2)
    before = len(store.puts)
    await asyncio.gather(
        *(journal.async_begin(begin_request(f"k{n}"), clock.now) for n in range(100))
    )
    assert len(store.puts) - before <= 2


async def test_long_body(journals: JournalMaker, clock: FakeClock) -> None:
    """A body above the limit is recorded by its digest."""
    journal = await journals.async_open("a/1", 2, answer_limit=64)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_finish("key-1", answered(b"x" * 100), clock.now)
    result = await journal.async_begin(begin_request(), clock.now)
    assert isinstance(result, Replayed)
    assert result.answer.body is None
    assert result.answer.body_length == 100


async def test_retention(journals: JournalMaker, clock: FakeClock) -> None:
    """Records are forgotten after the retention only."""
    journal = await journals.async_open("a/1", 2, retention=100.0)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_finish("key-1", answered(), clock.now)
    clock.now += 99.0
    result = await journal.async_begin(begin_request(), clock.now)
    assert isinstance(result, Replayed)
    clock.now += 2.0
    assert isinstance(await journal.async_begin(begin_request(), clock.now), Begun)


async def test_full_journal(journals: JournalMaker, clock: FakeClock) -> None:
    """A full journal refuses new requests and forgets none."""
    journal = await journals.async_open("a/1", 2, max_records=2)
    for key in ("k1", "k2"):
        await journal.async_begin(begin_request(key), clock.now)
        await journal.async_finish(key, answered(), clock.now)
    with pytest.raises(JournalFullError):
        await journal.async_begin(begin_request("k3"), clock.now)
    assert isinstance(
        await journal.async_begin(begin_request("k1"), clock.now), Replayed
    )


async def test_bounded_memory(journals: JournalMaker, clock: FakeClock) -> None:
    """Memory is bounded with the answers to come."""
    journal = await journals.async_open("a/1", 2, max_bytes=20_000)
    for number in range(3):
        await journal.async_begin(begin_request(f"k{number}"), clock.now)
    with pytest.raises(JournalFullError):
        await journal.async_begin(begin_request("k4"), clock.now)
    assert journal.status.memory <= 20_000


@pytest.mark.parametrize(
    ("key", "error"),
    [
        ("k" * 600, RequestTooLargeError),
        ("\u20ac" * 200, RequestTooLargeError),
        ("\udcff", BadHeaderError),
    ],
)
async def test_bad_key(
    journals: JournalMaker, clock: FakeClock, key: str, error: type[Exception]
) -> None:
    """A key that cannot be recorded is refused and leaves nothing behind."""
    journal = await journals.async_open("a/1", 2)
    with pytest.raises(error):
        await journal.async_begin(begin_request(key, fingerprint="f"), clock.now)
    assert journal.status.records == 0


@pytest.mark.parametrize(("archive_limit", "pages"), [(2000, 4), (9000, 2)])
async def test_archives(
    journals: JournalMaker,
    store: FakeStore,
    clock: FakeClock,
    archive_limit: int,
    pages: int,
) -> None:
    """Old records move to pages, joined up to a size, that the next holder reads."""
    journal = await journals.async_open(
        "a/1", 2, page_limit=2000, archive_limit=archive_limit
    )
    for number in range(60):
        await journal.async_begin(begin_request(f"k{number}"), clock.now)
        await journal.async_finish(f"k{number}", answered(), clock.now)
    assert len(store.objects_by_name) >= pages
    largest = max(len(stored.body) for stored in store.objects_by_name.values())
    assert largest < archive_limit + 2000
    heir = await journals.async_open("b/1", 4)
    for number in range(60):
        result = await heir.async_begin(begin_request(f"k{number}"), clock.now)
        assert isinstance(result, Replayed)


async def test_expired_archives(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """Expired pages are deleted."""
    journal = await journals.async_open(
        "a/1", 2, page_limit=500, archive_limit=600, retention=100.0
    )
    for number in range(20):
        await journal.async_begin(begin_request(f"k{number}"), clock.now)
        await journal.async_finish(f"k{number}", answered(), clock.now)
    pages = len(store.objects_by_name)
    clock.now += 500.0
    for number in range(20):
        await journal.async_begin(begin_request(f"m{number}"), clock.now)
        await journal.async_finish(f"m{number}", NotRun(), clock.now)
    assert pages > 3
    assert len(store.objects_by_name) == 1
    assert journal.status.records == 0


async def test_later_term(journals: JournalMaker, clock: FakeClock) -> None:
    """A later term of the same holder keeps what runs."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_open(4, clock.now)
    result = await journal.async_begin(begin_request(), clock.now)
    assert isinstance(result, Joined)
    assert await journal.async_finish("key-1", answered(), clock.now)


async def test_close_flushes(journals: JournalMaker, clock: FakeClock) -> None:
    """Closing writes what waits."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    finish = asyncio.create_task(journal.async_finish("key-1", answered(), clock.now))
    await asyncio.sleep(0)
    await journal.async_close()
    assert await finish
    heir = await journals.async_open("b/1", 4)
    assert isinstance(await heir.async_begin(begin_request(), clock.now), Replayed)
