"""Records that keep work which must not repeat from running twice."""

from __future__ import annotations

import asyncio
from random import Random

from swiftpin.config.outage_behaviour import OutageBehaviour
from swiftpin.const import STORE_PREFIX_JOURNAL
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.begin_request import BeginRequest
from swiftpin.dispatch.begin_result import BeginResult
from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.clock import Clock
from swiftpin.dispatch.commit import Commit
from swiftpin.dispatch.conditional_object import ConditionalObject
from swiftpin.dispatch.exceptions import JournalDeposedError
from swiftpin.dispatch.joined import Joined
from swiftpin.dispatch.journal_entry import JournalEntry
from swiftpin.dispatch.journal_errors import JournalErrors
from swiftpin.dispatch.journal_index import JournalIndex
from swiftpin.dispatch.journal_merge import final_line, merge, record_of
from swiftpin.dispatch.journal_opener import JournalOpener
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.journal_status import JournalStatus
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.journal_writer import JournalWriter
from swiftpin.dispatch.lease_check import LeaseCheck
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.outcome import Outcome
from swiftpin.dispatch.page_codec import encode_record, writer_of
from swiftpin.dispatch.replayed import Replayed
from swiftpin.dispatch.ticket_issuer import TicketIssuer
from swiftpin.dispatch.unknown import Unknown
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.exceptions import (
    BadHeaderError,
    IdempotencyKeyReusedError,
    JournalUnavailableError,
    OutcomeUnknownError,
    RequestTooLargeError,
)
from swiftpin.ownership.group_id import GroupId


class IdempotencyJournal:
    """The idempotency keys of one group, kept by the group's holder.

    A request is recorded durably before `async_begin` lets it run, so whatever
    happens to this process, a resend finds the record. `holder` is the instance id;
    `is_confirmed` tells whether it certainly holds the group's lease at a time.
    """

    def __init__(
        self,
        store: JournalStore,
        group: GroupId,
        holder: str,
        settings: JournalSettings,
        rng: Random,
        *,
        is_confirmed: LeaseCheck,
        wall: WallClock,
        clock: Clock = monotonic_now,
    ) -> None:
        name = f"{STORE_PREFIX_JOURNAL}{group.service}/{group.group}"
        self._settings = settings
        self._holder = holder
        self._errors = JournalErrors(rng)
        self._is_confirmed = is_confirmed
        self._wall = wall
        self._clock = clock
        self._page = ConditionalObject(store, name, writer_of)
        self._opener = JournalOpener(store, self._page, holder)
        self._writer = JournalWriter(
            store, self._page, settings, rng, holder=holder, clock=clock, wall=wall
        )
        self._index = JournalIndex(settings)
        self._tickets = TicketIssuer(holder, 0, settings.retention)
        self._loaded = False

    @property
    def status(self) -> JournalStatus:
        """Return the present state."""
        return JournalStatus(
            term=self._writer.term,
            loaded=self._loaded,
            available=self._writer.available,
            deposed=self._writer.deposed,
            records=len(self._index),
            memory=self._index.size,
            writes=self._writer.writes,
            bytes_written=self._writer.bytes_written,
        )

    async def async_open(self, term: int, now: float) -> None:
        """Seal the journal for a term of this holder and load its records.

        Raises `JournalDeposedError` when a later term owns it, `StoreError` when
        the store is away: open it again later; until then nothing begins. Called
        again for a later term of the same holder, it keeps what is in memory.
        """
        async with self._writer.lock:
            if not await self._async_is_unbroken():
                await self._async_load(term, now)
            self._writer.start(term)
        self._tickets = TicketIssuer(self._holder, term, self._settings.retention)
        self._loaded = True
        self._writer.touch()

    async def async_close(self) -> None:
        """Write what waits, within the limit for outcomes, and stop."""
        self._loaded = False
        await self._writer.async_flush(self._settings.finish_limit)
        await self._writer.async_stop()

    @callback
    def lookup(self, request: BeginRequest, now: float) -> Joined | Replayed | None:
        """Return what is known of a request without recording it, None if nothing.

        A refusal that says "not run" is true of a resend only after this returned
        None. Raises as `async_begin` does.
        """
        self._require_owned(now)
        self._prune(now)
        entry = self._index.get(request.key)
        if entry is not None:
            return self._known(entry, request)
        self._check_ticket(request, now)
        return None

    async def async_begin(self, request: BeginRequest, now: float) -> BeginResult:
        """Record a request, or return what became of an earlier one with its key.

        Raises `IdempotencyKeyReusedError`, `OutcomeUnknownError` when it may have
        run, `JournalDeposedError`, `JournalNotLoadedError`, `JournalFullError`, and
        `JournalUnavailableError` (`TicketOfferedError` with a ticket) when it was not
        recorded and not run.
        """
        known = self.lookup(request, now)
        if known is not None:
            return known
        durable_run = self._writer.available
        if not durable_run and not self._may_run_by_ticket(request):
            raise self._unavailable(request)
        entry = self._add(request, now)
        line = encode_record(record_of(entry, self._wall))
        self._writer.head.put_running(entry.key, line)
        commit = self._writer.touch()
        if not durable_run:
            return Begun(key=request.key, durable=False)
        limit = min(request.deadline - now, self._settings.begin_limit)
        await self._async_record(entry, commit, limit, request)
        return Begun(key=request.key, durable=True)

    async def async_finish(self, key: str, outcome: Outcome, now: float) -> bool:
        """End a request that began here; return whether the outcome is durable.

        Every `Begun` must be ended, also after a cancellation. The wait is
        bounded by the settings; a False changes nothing for the caller's answer.
        """
        entry = self._index.get(key)
        if entry is None or entry.outcome is not None:
            return False
        match outcome:
            case NotRun():
                self._erase(entry)
                return True
            case Answered():
                final: Answered | Unknown = outcome.trimmed(self._settings.answer_limit)
            case Unknown():
                final = outcome
        self._index.end(entry, final, now)
        line = final_line(record_of(entry, self._wall))
        self._writer.head.put_final(key, line)
        entry.tell(outcome)
        commit = self._writer.touch()
        return await commit.async_wait(self._settings.finish_limit)

    async def _async_is_unbroken(self) -> bool:
        """Return whether nobody else wrote the journal since this holder opened it."""
        if not self._loaded or self._writer.deposed:
            return False
        return self._page.is_own(await self._page.async_read())

    async def _async_load(self, term: int, now: float) -> None:
        """Take the journal over from an earlier holder."""
        # The seal makes this process the page's writer again. Were the loop to write
        # before the load is complete, it would replace records that it never read.
        self._loaded = False
        self._writer.suspend()
        opened = await self._opener.async_open(term, self._writer.next_writer_id)
        self._writer.head = merge(
            opened,
            self._index,
            retention=self._settings.retention,
            wall=self._wall,
            now=now,
        )
        self._writer.discard(opened.orphans)

    async def _async_record(
        self, entry: JournalEntry, commit: Commit, limit: float, request: BeginRequest
    ) -> None:
        """Wait until the record is durable; forget it and raise when it is not."""
        try:
            durable = await commit.async_wait(limit)
        except asyncio.CancelledError:
            self._erase(entry)
            raise
        if durable:
            return
        # The write may still take effect. The record then has no outcome until the
        # next write leaves it out; a holder that takes over in between answers a
        # resend with "unknown", and never runs it.
        self._erase(entry)
        self._require_owned(self._clock())
        raise self._unavailable(request)

    def _require_owned(self, now: float) -> None:
        """Raise unless the records of the group are known, and no one adds to them.

        A holder that was paused past its lease knows nothing of what the next one
        ran. Without the check of the lease it would say "not run" of that work while
        the store is away, when no write can show it that it was deposed.
        """
        if not self._loaded:
            raise self._errors.not_loaded()
        if self._writer.deposed or not self._is_confirmed(now):
            raise JournalDeposedError("the group may have another lease holder")

    def _prune(self, now: float) -> None:
        """Forget what is past the retention."""
        for key in self._index.prune(now):
            self._writer.head.drop(key)

    def _known(self, entry: JournalEntry, request: BeginRequest) -> Joined | Replayed:
        """Return what became of the earlier request with the same key."""
        if entry.fingerprint != request.fingerprint:
            raise IdempotencyKeyReusedError(
                "the idempotency key belongs to a request with other content"
            )
        match entry.outcome:
            case Answered() as answer:
                return Replayed(answer=answer)
            case Unknown():
                raise OutcomeUnknownError("an earlier try of the request may have run")
            case None:
                return Joined(ended=entry.waited_for())

    def _check_ticket(self, request: BeginRequest, now: float) -> None:
        """Raise when a ticket shows that the request may have run unrecorded."""
        ticket = request.ticket
        if ticket is None:
            return
        if not self._tickets.accepts(ticket, request.key, request.fingerprint, now):
            raise OutcomeUnknownError(
                "the request may have run under a ticket of an earlier lease"
            )

    def _may_run_by_ticket(self, request: BeginRequest) -> bool:
        """Return whether the request, whose ticket was checked, may run unrecorded."""
        allowed = self._settings.on_outage is OutageBehaviour.TICKET
        return allowed and request.ticket is not None

    def _add(self, request: BeginRequest, now: float) -> JournalEntry:
        """Add an entry that runs."""
        try:
            size = request.size
        except UnicodeError as err:
            raise BadHeaderError("the idempotency key is not valid text") from err
        if size > self._settings.key_limit:
            raise RequestTooLargeError("the idempotency key is too long")
        if not self._index.has_room():
            raise self._errors.full()
        entry = JournalEntry(
            key=request.key,
            fingerprint=request.fingerprint,
            request_id=request.request_id,
            changed_at=now,
        )
        self._index.add(entry)
        return entry

    def _erase(self, entry: JournalEntry) -> None:
        """Forget a request that was not run, also in the next batch."""
        self._index.remove_running(entry)
        self._writer.head.drop(entry.key)
        self._writer.touch()
        entry.tell(NotRun())

    def _unavailable(self, request: BeginRequest) -> JournalUnavailableError:
        """Return the refusal of a request that cannot be recorded."""
        if self._settings.on_outage is not OutageBehaviour.TICKET:
            return self._errors.unavailable(None)
        ticket = self._tickets.issue(request.key, request.fingerprint, self._clock())
        return self._errors.unavailable(ticket)
