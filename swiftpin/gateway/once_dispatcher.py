"""Requests that are not repeatable."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
from typing import Final

from multidict import CIMultiDict

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.begin_request import BeginRequest
from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.exceptions import JournalDeposedError
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.joined import Joined
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.replayed import Replayed
from swiftpin.dispatch.unknown import Unknown
from swiftpin.exceptions import (
    AnswerNotKeptError,
    NotHolderError,
    OutcomeUnknownError,
)
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.held_groups import HeldGroups
from swiftpin.gateway.once_run import OnceRun
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.gateway.target_dispatcher import TargetDispatcher
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.whole_answer import WholeAnswer
from swiftpin.ownership.route import Route
from swiftpin.result import ResultCode

DIGEST_BYTES: Final = 16


class OnceDispatcher:
    """Lets each request run at most once, and resends share its outcome."""

    def __init__(self, dispatcher: TargetDispatcher, groups: HeldGroups) -> None:
        self._dispatcher = dispatcher
        self._groups = groups
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_dispatch(self, exchange: Exchange, route: Route) -> None:
        """Run the request, or answer with the outcome of an earlier attempt."""
        journal = self._groups.journal(route.group)
        if journal is None:
            raise NotHolderError("the group is being handed over", retry_after=1)
        job = self._dispatcher.job(exchange, route)
        begin = _begin_request(job)
        outcome: Answered | Unknown | NotRun = NotRun()
        while isinstance(outcome, NotRun):
            match await self._async_begin(journal, begin, job, exchange.record):
                case Begun():
                    await self._async_run(journal, begin.key, job, exchange.writer)
                    return
                case Replayed(answer=answer):
                    outcome = answer
                case Joined() as joined:
                    exchange.state.written = True
                    outcome = await joined.async_outcome()
                    exchange.state.written = False
        await _async_replay(outcome, exchange.writer)

    async def async_wait_idle(self) -> None:
        """Wait until every run has ended, those without a caller too."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def async_unload(self) -> None:
        """End the runs that still go on; their outcome stays unknown."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_begin(
        self,
        journal: IdempotencyJournal,
        begin: BeginRequest,
        job: TargetJob,
        record: RequestRecord,
    ) -> Begun | Replayed | Joined:
        """Return what is known of the request, or record that it begins.

        Raises `NotHolderError` when another holder has sealed the journal: that one
        knows what became of earlier attempts.
        """
        try:
            return await self._async_look_up(journal, begin, job, record)
        except JournalDeposedError as err:
            record.looked_up = False
            raise NotHolderError(err.hint, retry_after=err.retry_after) from err

    async def _async_look_up(
        self,
        journal: IdempotencyJournal,
        begin: BeginRequest,
        job: TargetJob,
        record: RequestRecord,
    ) -> Begun | Replayed | Joined:
        """Return what this holder's journal says."""
        now = monotonic_now()
        known = journal.lookup(begin, now)
        if known is not None:
            return known
        record.looked_up = True
        # What the queue would refuse anyway is not worth a write to the store.
        self._dispatcher.runner.check(job, now)
        return await journal.async_begin(begin, now)

    async def _async_run(
        self,
        journal: IdempotencyJournal,
        journal_key: str,
        job: TargetJob,
        writer: AnswerWriter,
    ) -> None:
        """Run a request that has begun and write its answer."""
        run = OnceRun(self._dispatcher.runner, journal, journal_key, job)
        task = self._start(run, job)
        try:
            answer = await run.async_answer()
        except asyncio.CancelledError:
            run.abandon(task)
            raise
        match answer:
            case WholeAnswer():
                await writer.async_write_whole(
                    answer.status, answer.headers, ResultCode.ANSWERED, answer.body
                )
            case HttpAnswer():
                try:
                    await writer.async_write_answer(answer, ResultCode.ANSWERED.value)
                finally:
                    run.streamed()

    @callback
    def _start(self, run: OnceRun, job: TargetJob) -> asyncio.Task[None]:
        """Start the run's task and count it in its group."""
        assert job.route is not None
        group = job.route.group
        task = asyncio.create_task(run.async_run(), name="once-run")
        self._tasks.add(task)
        self._groups.runs.begin(group)

        def ended(task: asyncio.Task[None]) -> None:
            """Count the run out."""
            self._tasks.discard(task)
            self._groups.runs.end(group)

        task.add_done_callback(ended)
        return task


@callback
def _begin_request(job: TargetJob) -> BeginRequest:
    """Return the request as the journal sees it.

    The idempotency key counts within the request's key, so that callers need not
    make theirs differ between keys.
    """
    incoming = job.incoming
    return BeginRequest(
        key=_digest(incoming.key, incoming.idempotency_key or ""),
        fingerprint=job.fingerprint,
        request_id=incoming.id,
        deadline=incoming.deadline,
        ticket=incoming.ticket,
    )


async def _async_replay(outcome: Answered | Unknown, writer: AnswerWriter) -> None:
    """Answer with a recorded outcome."""
    match outcome:
        case Unknown():
            raise OutcomeUnknownError("an earlier try of the request may have run")
        case Answered(body=None):
            raise AnswerNotKeptError(
                f"the request ran before; the target answered {outcome.status} with"
                f" {outcome.body_length} bytes, which were not kept"
            )
        case Answered(body=bytes() as body):
            await writer.async_write_whole(
                outcome.status, CIMultiDict(outcome.headers), ResultCode.REPLAYED, body
            )


@callback
def _digest(*parts: str) -> str:
    """Return a digest of the parts in their order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.hexdigest()
