"""One run of a request that is not repeatable."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.answer_recorder import AnswerRecorder
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.outcome import Outcome
from swiftpin.dispatch.unknown import Unknown
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerLostError,
    NoOwnerError,
    OutcomeUnknownError,
    RequestError,
)
from swiftpin.gateway.answer_writer import WHOLE_ANSWER_LIMIT
from swiftpin.gateway.header_rules import answer_headers
from swiftpin.gateway.target_dispatcher import left_route
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.target_runner import TargetRunner
from swiftpin.gateway.whole_answer import WholeAnswer

RECORD_GRACE: Final = 2.0
"""Seconds after the deadline for which a late answer is still awaited, so that a
resend learns what became of the request."""


class OnceRun:
    """Runs a job that the journal let begin, and records how it ended.

    It has a task of its own, which goes on when the caller leaves: once the request
    was written, cancelling it would turn an answer that is on its way into
    "unknown" for every resend.
    """

    def __init__(
        self,
        runner: TargetRunner,
        journal: IdempotencyJournal,
        journal_key: str,
        job: TargetJob,
    ) -> None:
        self._runner = runner
        self._journal = journal
        self._journal_key = journal_key
        self._job = job
        self._abandoned = False
        self._streamed = asyncio.Event()
        self._given: asyncio.Future[WholeAnswer | HttpAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    async def async_answer(self) -> WholeAnswer | HttpAnswer:
        """Wait for the answer, or raise what ended the run.

        Whoever gets an `HttpAnswer` reads it and calls `streamed` in the end.
        """
        return await self._given

    @callback
    def streamed(self) -> None:
        """Note that nobody reads the answer any more."""
        self._streamed.set()

    @callback
    def abandon(self, task: asyncio.Task[None]) -> None:
        """Note that the caller left; stop what was not written yet."""
        self._abandoned = True
        self._streamed.set()
        if not self._job.state.written:
            task.cancel()

    async def async_run(self) -> None:
        """Run the request, give its answer, then record the outcome."""
        outcome: Outcome
        try:
            async with asyncio.timeout(self._time_left()):
                outcome = await self._runner.async_run(self._job, self._async_receive)
        except NoOwnerError as err:
            outcome = self._failed(left_route(err))
        except RequestError as err:
            outcome = self._failed(err)
        except TimeoutError:
            outcome = self._failed(OutcomeUnknownError("no answer in time"))
        except BaseException:
            # Cancelled, or a fault of ours. A run that is never ended would make
            # each resend wait until its own deadline.
            await self._async_record(self._outcome())
            raise
        await self._async_record(outcome)

    async def _async_receive(self, answer: HttpAnswer) -> Answered:
        """Give the answer to whoever waits and return what is recorded of it."""
        recorder = AnswerRecorder(self._job.incoming.profile.answer_record_limit)
        answer.on_chunk = recorder.feed
        headers = answer_headers(answer.headers)
        try:
            if answer.length is not None and answer.length <= WHOLE_ANSWER_LIMIT:
                body = await answer.async_read_whole()
                self._give(
                    WholeAnswer(status=answer.status, headers=headers.copy(), body=body)
                )
            else:
                self._give(answer)
                await self._streamed.wait()
                await answer.async_read_rest()
        except AnswerBrokenError as err:
            raise AnswerLostError("the target broke its answer off") from err
        return recorder.answered(answer.status, tuple(headers.items()))

    async def _async_record(self, outcome: Outcome) -> None:
        """Record the outcome."""
        await self._journal.async_finish(self._journal_key, outcome, monotonic_now())

    def _time_left(self) -> float:
        """Return the seconds after which the run is given up."""
        incoming = self._job.incoming
        grace = RECORD_GRACE if incoming.service.checks_grants else 0.0
        return incoming.deadline + grace - monotonic_now()

    @callback
    def _outcome(self) -> Outcome:
        """Return the outcome of a run without an answer."""
        return Unknown() if self._job.state.written else NotRun()

    @callback
    def _give(self, answer: WholeAnswer | HttpAnswer) -> None:
        """Hand the answer over, unless nobody waits."""
        if self._abandoned or self._given.done():
            self._streamed.set()
            return
        self._given.set_result(answer)

    @callback
    def _failed(self, err: RequestError) -> Outcome:
        """Hand the error over, unless nobody waits; return the outcome."""
        if not self._abandoned and not self._given.done():
            self._given.set_exception(err)
        return self._outcome()
