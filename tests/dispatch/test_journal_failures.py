"""Tests of the idempotency journal when holders die or the store loses answers."""

from __future__ import annotations

import asyncio

import pytest

from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.exceptions import (
    JournalDeposedError,
    JournalNotLoadedError,
    PageCorruptError,
)
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.replayed import Replayed
from swiftpin.exceptions import (
    JournalUnavailableError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from tests.dispatch.conftest import (
    PAGE,
    FakeClock,
    JournalMaker,
    answered,
    async_until,
    begin_request,
)
from tests.dispatch.fake_store import FakeStore


async def test_holder_killed_before_send(
    journals: JournalMaker, clock: FakeClock
) -> None:
    """A resend after a takeover is answered "unknown", though nothing ran.

    The holder records the request and dies before it sends it; the next holder
    opens the journal. The record cannot tell this from a request that was sent.
    """
    first = await journals.async_open("a/1", 2)
    await first.async_begin(begin_request(), clock.now)
    heir = await journals.async_open("b/1", 4)
    with pytest.raises(OutcomeUnknownError):
        await heir.async_begin(begin_request(), clock.now)


async def test_holder_killed_before_outcome(
    journals: JournalMaker, clock: FakeClock
) -> None:
    """A booking is doubled when the holder dies between send and outcome.

    The holder records and sends; the target books; the holder dies; the caller sends
    again to the next holder, and again to the one after. None may run it.
    """
    first = await journals.async_open("a/1", 2)
    await first.async_begin(begin_request(), clock.now)
    await first._writer.async_stop()
    for holder, term in (("b/1", 4), ("c/1", 6)):
        heir = await journals.async_open(holder, term)
        with pytest.raises(OutcomeUnknownError):
            await heir.async_begin(begin_request(), clock.now)


async def test_deposed_holder_begins(journals: JournalMaker, clock: FakeClock) -> None:
    """Two holders let the same booking run.

    The first holder is paused past its lease; the second opens the journal; the
    first resumes and begins a request. Its write must lose, and the request must
    be neither run nor called "not run", since the second may have run it.
    """
    first = await journals.async_open("a/1", 2)
    second = await journals.async_open("b/1", 4)
    assert isinstance(await second.async_begin(begin_request(), clock.now), Begun)
    with pytest.raises(JournalDeposedError):
        await first.async_begin(begin_request(), clock.now)
    assert first.status.deposed
    with pytest.raises(JournalDeposedError):
        await first.async_begin(begin_request("key-2"), clock.now)


async def test_deposed_holder_finishes(
    journals: JournalMaker, clock: FakeClock
) -> None:
    """A deposed holder's late outcome overwrites the records of the next one.

    It began a request, was deposed while the target worked, and now writes the
    outcome. The write must lose and say so.
    """
    first = await journals.async_open("a/1", 2)
    await first.async_begin(begin_request(), clock.now)
    second = await journals.async_open("b/1", 4)
    await second.async_begin(begin_request("key-2"), clock.now)
    assert not await first.async_finish("key-1", answered(), clock.now)
    third = await journals.async_open("c/1", 6)
    for key in ("key-1", "key-2"):
        with pytest.raises(OutcomeUnknownError):
            await third.async_begin(begin_request(key), clock.now)


async def test_older_term_cannot_open(journals: JournalMaker, clock: FakeClock) -> None:
    """A holder that resumes in the middle of its takeover reverts a later one.

    It is paused before it seals; a later term seals first.
    """
    await journals.async_open("b/1", 4)
    with pytest.raises(JournalDeposedError):
        await journals.async_open("a/1", 2)
    with pytest.raises(JournalDeposedError):
        await journals.async_open("c/1", 4)


async def test_lost_answer_of_record(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A request is refused, or its holder thinks itself deposed, for a lost answer.

    The write of the record takes effect and its answer is lost. Read back, it is
    recognised by its writer.
    """
    journal = await journals.async_open("a/1", 2)
    store.lost_answers = 1
    result = await journal.async_begin(begin_request(), clock.now)
    assert result == Begun(key="key-1", durable=True)
    assert not journal.status.deposed


async def test_lost_answer_of_seal(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """No holder can open the journal after the answer to a seal was lost."""
    first = await journals.async_open("a/1", 2)
    await first.async_begin(begin_request(), clock.now)
    await first.async_finish("key-1", answered(), clock.now)
    store.lost_answers = 1
    heir = await journals.async_open("b/1", 4)
    assert isinstance(await heir.async_begin(begin_request(), clock.now), Replayed)


async def test_delayed_write_of_deposed_holder(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A write that was delayed in the network undoes a takeover.

    The first holder's write hangs; the second opens the journal and records a
    request; then the write arrives. Its condition no longer holds.
    """
    first = await journals.async_open("a/1", 2)
    store.delayed_writes = 99
    begin = asyncio.create_task(first.async_begin(begin_request(), clock.now))
    await async_until(lambda: not first.status.available)
    await first._writer.async_stop()
    store.delayed_writes = 0
    second = await journals.async_open("b/1", 4)
    await second.async_begin(begin_request(), clock.now)
    store.release_delayed()
    assert b'"holder":"b/1"' in store.objects_by_name[PAGE].body
    with pytest.raises((JournalDeposedError, JournalUnavailableError)):
        await begin


async def test_delayed_write_of_refused_record(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A request that was refused as not run can never run, since its record stayed.

    The write of the record is reported as unknown, so the request is refused; the
    write takes effect later. The next write must leave the record out.
    """
    journal = await journals.async_open("a/1", 2)
    store.delayed_writes = 3
    with pytest.raises(JournalUnavailableError):
        await journal.async_begin(begin_request(), clock.now)
    store.release_delayed()
    await async_until(lambda: journal.status.available)
    await journal.async_begin(begin_request("key-2"), clock.now)
    heir = await journals.async_open("b/1", 4)
    assert isinstance(await heir.async_begin(begin_request(), clock.now), Begun)


async def test_caller_leaves_while_recording(
    journals: JournalMaker, clock: FakeClock
) -> None:
    """A resend waits for ever for a request whose caller hung up while recording.

    The resend joins the request whose record is being written; that one's caller
    leaves. The resend must learn that it was not run.
    """
    journal = await journals.async_open("a/1", 2)
    begin = asyncio.create_task(journal.async_begin(begin_request(), clock.now))
    await asyncio.sleep(0)
    joined = journal.lookup(begin_request(), clock.now)
    begin.cancel()
    assert joined is not None
    assert not isinstance(joined, Replayed)
    assert await joined.async_outcome() == NotRun()
    assert isinstance(await journal.async_begin(begin_request(), clock.now), Begun)


async def test_load_cut_off_after_seal(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """Records vanish when the store goes away in the middle of a takeover.

    A holder is deposed and takes over again. It seals the page, then cannot read
    the older pages. Were it to write now, it would replace records it never read.
    """
    first = await journals.async_open("a/1", 2, page_limit=300)
    await first.async_begin(begin_request("k0"), clock.now)
    second = await journals.async_open("b/1", 4, page_limit=300)
    for key in ("k1", "k2", "k3", "k4"):
        await second.async_begin(begin_request(key), clock.now)
        await second.async_finish(key, answered(), clock.now)
    lost = next(name for name in store.objects_by_name if name != PAGE)
    page = store.objects_by_name.pop(lost)
    with pytest.raises(PageCorruptError):
        await first.async_open(6, clock.now)
    with pytest.raises(JournalNotLoadedError):
        await first.async_begin(begin_request("k5"), clock.now)
    assert not await first.async_finish("k0", answered(), clock.now)
    store.objects_by_name[lost] = page
    await first.async_open(6, clock.now)
    for key in ("k1", "k2", "k3", "k4"):
        result = await first.async_begin(begin_request(key), clock.now)
        assert isinstance(result, Replayed)


async def test_takeover_without_store(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A caller is told "not run" of a booking that an earlier holder ran.

    The holder dies during a store outage; its successor takes over and cannot read
    the journal. Whatever it is asked, an earlier holder may have run it.
    """
    first = await journals.async_open("a/1", 2)
    await first.async_begin(begin_request(), clock.now)
    store.down = True
    heir = journals.make("b/1")
    with pytest.raises(StoreUnavailableError):
        await heir.async_open(3, clock.now)
    with pytest.raises(JournalNotLoadedError):
        await heir.async_begin(begin_request(), clock.now)


async def test_orphans_are_deleted(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """Pages pile up in the store when holders die between page and head.

    A page was written by a holder that died before the head referred to it.
    """
    store.apply(f"{PAGE}/2-dead-1", b'{"records":[]}', 0)
    store.apply(f"{PAGE}/8-later-1", b'{"records":[]}', 0)
    journal = await journals.async_open("a/1", 4)
    await journal.async_begin(begin_request(), clock.now)
    await async_until(lambda: f"{PAGE}/2-dead-1" not in store.objects_by_name)
    assert f"{PAGE}/8-later-1" in store.objects_by_name
