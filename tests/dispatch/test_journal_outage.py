"""Tests of the idempotency journal while the store is away."""

from __future__ import annotations

import pytest

from swiftpin.config.outage_behaviour import OutageBehaviour
from swiftpin.dispatch.begin_request import BeginRequest
from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.exceptions import JournalDeposedError, TicketOfferedError
from swiftpin.dispatch.joined import Joined
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.replayed import Replayed
from swiftpin.exceptions import JournalUnavailableError, OutcomeUnknownError
from tests.dispatch.conftest import (
    FakeClock,
    JournalMaker,
    answered,
    async_until,
    begin_request,
)
from tests.dispatch.fake_store import FakeStore


async def async_refused(
    journal: IdempotencyJournal, clock: FakeClock, key: str = "key-1"
) -> BeginRequest:
    """Begin a request that is refused, and return it with the ticket it got."""
    with pytest.raises(TicketOfferedError) as refusal:
        await journal.async_begin(begin_request(key), clock.now)
    assert refusal.value.retry_after is not None
    return begin_request(key, ticket=refusal.value.ticket)


async def test_refuse(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """Without tickets a request is refused as not run."""
    journal = await journals.async_open("a/1", 2, on_outage=OutageBehaviour.REFUSE)
    store.down = True
    with pytest.raises(JournalUnavailableError) as refusal:
        await journal.async_begin(begin_request(), clock.now)
    assert not isinstance(refusal.value, TicketOfferedError)


async def test_ticket_runs(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A resend with its ticket runs once, in memory only."""
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    result = await journal.async_begin(resend, clock.now)
    assert result == Begun(key="key-1", durable=False)
    assert isinstance(await journal.async_begin(resend, clock.now), Joined)
    assert not await journal.async_finish("key-1", answered(), clock.now)
    assert isinstance(await journal.async_begin(resend, clock.now), Replayed)


async def test_known_keys_in_outage(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """What is on record is answered during an outage."""
    journal = await journals.async_open("a/1", 2)
    await journal.async_begin(begin_request(), clock.now)
    await journal.async_finish("key-1", answered(), clock.now)
    store.down = True
    await async_refused(journal, clock, "key-2")
    assert isinstance(await journal.async_begin(begin_request(), clock.now), Replayed)


async def test_ticket_of_earlier_holder(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A booking is doubled after a holder that ran it by ticket died.

    It ran without a record during an outage; the holder died; the store came back
    and the next holder finds no record. Only the ticket tells that it may have run.
    """
    first = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(first, clock)
    await first.async_begin(resend, clock.now)
    await first._writer.async_stop()
    store.down = False
    heir = await journals.async_open("b/1", 4)
    with pytest.raises(OutcomeUnknownError):
        await heir.async_begin(resend, clock.now)


async def test_ticket_of_earlier_holder_on_record(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A later holder answers a ticket whose outcome the journal knows."""
    first = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(first, clock)
    await first.async_begin(resend, clock.now)
    await first.async_finish("key-1", answered(), clock.now)
    store.down = False
    await async_until(lambda: first.status.available)
    heir = await journals.async_open("b/1", 4)
    assert isinstance(await heir.async_begin(resend, clock.now), Replayed)


async def test_resend_without_ticket_after_outage(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A booking is doubled when its resend comes without the ticket.

    It ran by ticket while the store was away. The store is back; the resend has
    lost its ticket, and first meets the same holder, then the next one.
    """
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    await journal.async_begin(resend, clock.now)
    store.down = False
    await async_until(lambda: journal.status.available)
    assert isinstance(await journal.async_begin(begin_request(), clock.now), Joined)
    heir = await journals.async_open("b/1", 4)
    with pytest.raises(OutcomeUnknownError):
        await heir.async_begin(begin_request(), clock.now)


async def test_ticket_when_the_store_is_back(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A resend with its ticket is recorded durably once the store is back."""
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    store.down = False
    await async_until(lambda: journal.status.available)
    result = await journal.async_begin(resend, clock.now)
    assert result == Begun(key="key-1", durable=True)


async def test_lease_not_confirmed(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A paused holder says "not run" of a booking that the next holder ran.

    It resumes past its lease during a store outage, so no write can tell it that
    it was deposed.
    """
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    journals.lease_end = clock.now
    with pytest.raises(JournalDeposedError):
        await journal.async_begin(resend, clock.now)


@pytest.mark.parametrize("change", ["key", "fingerprint", "mac", "time", "garbage"])
async def test_foreign_ticket(
    journals: JournalMaker, store: FakeStore, clock: FakeClock, change: str
) -> None:
    """A ticket that was not given to this request lets nothing run."""
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    ticket = resend.ticket or ""
    holder, issued_at, mac = ticket.rsplit(";", 2)
    changed = {
        "key": begin_request("key-2", ticket=ticket),
        "fingerprint": begin_request(fingerprint="other", ticket=ticket),
        "mac": begin_request(ticket=f"{holder};{issued_at};{mac[::-1]}"),
        "time": begin_request(ticket=f"{holder};{int(issued_at) + 1};{mac}"),
        "garbage": begin_request(ticket="\udcff;;9" * 9),
    }[change]
    with pytest.raises(OutcomeUnknownError):
        await journal.async_begin(changed, clock.now)


async def test_ticket_of_earlier_term(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A ticket of an earlier term of the same holder counts as unknown."""
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    store.down = False
    await journal.async_open(4, clock.now)
    with pytest.raises(OutcomeUnknownError):
        await journal.async_begin(resend, clock.now)


async def test_ticket_older_than_the_records(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A booking is doubled when its ticket outlives its record.

    It ran by ticket; its record passed the retention and was forgotten; the ticket
    comes again.
    """
    journal = await journals.async_open("a/1", 2, retention=100.0)
    store.down = True
    resend = await async_refused(journal, clock)
    await journal.async_begin(resend, clock.now)
    await journal.async_finish("key-1", answered(), clock.now)
    clock.now += 101.0
    with pytest.raises(OutcomeUnknownError):
        await journal.async_begin(resend, clock.now)


async def test_ticket_run_that_was_not_run(
    journals: JournalMaker, store: FakeStore, clock: FakeClock
) -> None:
    """A request under a ticket that was not run may run with the same ticket."""
    journal = await journals.async_open("a/1", 2)
    store.down = True
    resend = await async_refused(journal, clock)
    await journal.async_begin(resend, clock.now)
    await journal.async_finish("key-1", NotRun(), clock.now)
    assert isinstance(await journal.async_begin(resend, clock.now), Begun)
