"""One run of a request that is not repeatable."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from multidict import CIMultiDict

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.answer_recorder import AnswerRecorder
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_send_state import HttpSendState
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
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.target_dispatcher import (
    TargetDispatcher,
    left_route,
    queued_request,
)
from swiftpin.ownership.route import Route

RECORD_GRACE: Final = 2.0
"""Seconds after the deadline for which a late answer is still awaited, so that a
resend learns what became of the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """A target's answer in memory."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class OnceRun:
    """Runs a request that the journal let begin, and records how it ended.

    It has a task of its own, which goes on when the caller leaves: once the request
    was written, cancelling it would turn an answer that is on its way into
    "unknown" for every resend. `state` tells whether it was written.
    """

    def __init__(
        self,
        dispatcher: TargetDispatcher,
        journal: IdempotencyJournal,
        journal_key: str,
        *,
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        state: HttpSendState,
    ) -> None:
        self._dispatcher = dispatcher
        self._journal = journal
        self._journal_key = journal_key
        self._incoming = incoming
        self._body = body
        self._route = route
        self._state = state
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
        if not self._state.written:
            task.cancel()

    async def async_run(self) -> None:
        """Run the request, give its answer, then record the outcome."""
        error: RequestError | None = None
        outcome: Outcome
        try:
            async with asyncio.timeout(self._time_left()):
                outcome = await self._async_exchange()
        except NoOwnerError as err:
            outcome, error = self._outcome(), left_route(err)
        except RequestError as err:
            outcome, error = self._outcome(), err
        except TimeoutError as err:
            outcome, error = self._outcome(), OutcomeUnknownError("no answer in time")
            error.__cause__ = err
        except BaseException:
            # Cancelled, or a fault of ours. A run that is never ended would make
            # each resend wait until its own deadline.
            await self._async_record(self._outcome())
            raise
        if error is not None:
            self._fail(error)
        await self._async_record(outcome)

    async def _async_exchange(self) -> Outcome:
        """Wait for a slot, send, and receive the whole answer."""
        queue = self._dispatcher.queue_of(self._incoming, self._route)
        queued = queued_request(self._incoming, self._route)
        async with queue.async_slot(queued, monotonic_now()) as slot:
            answer = await self._dispatcher.async_send(
                self._incoming, self._body, self._route, self._state, slot
            )
            try:
                return await self._async_receive(answer)
            except AnswerBrokenError as err:
                raise AnswerLostError("the target broke its answer off") from err
            finally:
                answer.finish(monotonic_now())

    async def _async_receive(self, answer: HttpAnswer) -> Answered:
        """Give the answer to whoever waits and return what is recorded of it."""
        recorder = AnswerRecorder(self._incoming.profile.answer_record_limit)
        answer.on_chunk = recorder.feed
        headers = answer_headers(answer.headers)
        if answer.length is not None and answer.length <= WHOLE_ANSWER_LIMIT:
            body = await answer.async_read_whole()
            self._give(
                WholeAnswer(status=answer.status, headers=headers.copy(), body=body)
            )
        else:
            self._give(answer)
            await self._streamed.wait()
            await answer.async_read_rest()
        return recorder.answered(answer.status, tuple(headers.items()))

    async def _async_record(self, outcome: Outcome) -> None:
        """Record the outcome."""
        await self._journal.async_finish(self._journal_key, outcome, monotonic_now())

    def _time_left(self) -> float:
        """Return the seconds after which the run is given up."""
        grace = RECORD_GRACE if self._incoming.service.checks_grants else 0.0
        return self._incoming.deadline + grace - monotonic_now()

    @callback
    def _outcome(self) -> Outcome:
        """Return the outcome of a run without an answer."""
        return Unknown() if self._state.written else NotRun()

    @callback
    def _give(self, answer: WholeAnswer | HttpAnswer) -> None:
        """Hand the answer over, unless nobody waits."""
        if self._abandoned or self._given.done():
            self._streamed.set()
            return
        self._given.set_result(answer)

    @callback
    def _fail(self, err: RequestError) -> None:
        """Hand the error over, unless nobody waits."""
        if not self._abandoned and not self._given.done():
            self._given.set_exception(err)
