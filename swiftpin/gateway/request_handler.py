"""The life of one request."""

from __future__ import annotations

import asyncio

from aiohttp.web import BaseRequest, StreamResponse
from eliot import write_traceback

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    CallerLeftError,
    DeadlineExceededError,
    DeadlineTooShortError,
    NotReadyError,
    OverloadedError,
    RequestError,
)
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.deadline_watch import DeadlineWatch
from swiftpin.gateway.decision_log import DecisionLog
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.request_ids import RequestIds
from swiftpin.gateway.request_parser import RequestParser
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.gateway.request_router import RequestRouter
from swiftpin.gateway.result_trace import ResultTrace
from swiftpin.gateway.truthful import truthful
from swiftpin.result import Executed


class RequestHandler:
    """Answers requests of callers and, on another port, of other instances.

    `limit` bounds the requests served at once.
    """

    def __init__(
        self,
        parser: RequestParser,
        router: RequestRouter,
        decisions: DecisionLog,
        metrics: Metrics,
        trace: ResultTrace,
        lifecycle: Lifecycle,
        deadlines: DeadlineWatch,
        *,
        limit: int,
    ) -> None:
        self._lifecycle = lifecycle
        self._parser = parser
        self._router = router
        self._decisions = decisions
        self._metrics = metrics
        self._trace = trace
        self._limit = limit
        self._ids = RequestIds()
        self._deadlines = deadlines
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Return the number of requests being served."""
        return self._in_flight

    async def async_wait_idle(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def async_handle_caller(self, request: BaseRequest) -> StreamResponse:
        """Answer a caller."""
        record = RequestRecord(
            request_id=self._ids.next(), started_at=monotonic_now(), forwarded=False
        )
        return await self._async_handle(request, record)

    async def async_handle_forwarded(self, request: BaseRequest) -> StreamResponse:
        """Answer another instance."""
        record = RequestRecord(
            request_id="", started_at=monotonic_now(), forwarded=True
        )
        return await self._async_handle(request, record)

    async def _async_handle(
        self, request: BaseRequest, record: RequestRecord
    ) -> StreamResponse:
        """Serve a request and record how it ended."""
        state = HttpSendState()
        writer = AnswerWriter(request, record, self._lifecycle)
        self._begin()
        try:
            await self._async_serve(request, record, state, writer)
        except RequestError as err:
            await _async_fail(truthful(err, request, record), writer, record)
        except asyncio.CancelledError:
            _note(record, _left(record, state))
            raise
        except Exception:  # noqa: BLE001 - one request's fault must not go unanswered
            write_traceback()
            await _async_fail(_internal(record, state), writer, record)
        finally:
            self._end(record)
        return writer.response

    async def _async_serve(
        self,
        request: BaseRequest,
        record: RequestRecord,
        state: HttpSendState,
        writer: AnswerWriter,
    ) -> None:
        """Read the request, get it answered, and end it at its deadline."""
        if not self._lifecycle.loaded:
            raise NotReadyError("the instance has just started")
        if self._in_flight > self._limit:
            raise OverloadedError("the instance serves as many requests as it may")
        if record.forwarded:
            incoming = self._parser.parse_forwarded(request, record.started_at)
            record.request_id = incoming.id
        else:
            incoming = self._parser.parse(request, record.request_id, record.started_at)
        record.incoming = incoming
        body = RequestBody(request, incoming.profile.body_limit)
        exchange = Exchange(
            incoming=incoming, body=body, state=state, writer=writer, record=record
        )
        try:
            with self._deadlines.until(incoming.deadline):
                await body.async_prefetch()
                await self._router.async_serve(exchange)
        except TimeoutError as err:
            raise _late(state) from err

    @callback
    def _begin(self) -> None:
        """Count a request in."""
        self._in_flight += 1
        self._idle.clear()

    @callback
    def _end(self, record: RequestRecord) -> None:
        """Count a request out and record it."""
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()
        now = monotonic_now()
        self._metrics.observe(record, now)
        self._decisions.write(record, now)
        self._trace.write(record, now)


async def _async_fail(
    err: RequestError, writer: AnswerWriter, record: RequestRecord
) -> None:
    """Tell the caller of the failure, or cut the answer that has begun."""
    _note(record, err)
    if writer.begun:
        writer.cut()
        return
    try:
        await writer.async_write_error(err)
    except CallerLeftError as left:
        _note(record, left)


@callback
def _note(record: RequestRecord, err: RequestError) -> None:
    """Record the failure."""
    record.status = err.status
    record.result = err.code.value
    record.executed = err.executed
    record.hint = err.hint


@callback
def _late(state: HttpSendState) -> RequestError:
    """Return the error of a request whose deadline passed."""
    if state.written:
        return DeadlineExceededError("the deadline passed while the request may run")
    return DeadlineTooShortError("the deadline passed before the request was sent")


@callback
def _left(record: RequestRecord, state: HttpSendState) -> RequestError:
    """Return the error of a request whose caller left, or whose instance stops."""
    err = CallerLeftError("the caller closed its connection")
    err.executed = _executed(record, state)
    return err


@callback
def _internal(record: RequestRecord, state: HttpSendState) -> RequestError:
    """Return the error of a fault in swiftpin itself."""
    err = RequestError("swiftpin failed; its log tells more")
    err.executed = _executed(record, state)
    return err


@callback
def _executed(record: RequestRecord, state: HttpSendState) -> Executed:
    """Return what is known of a request that ended at an arbitrary moment."""
    if state.written or record.may_have_run or record.incoming is None:
        return Executed.UNKNOWN
    if record.looked_up or record.incoming.request_class.repeatable:
        return Executed.NO
    return Executed.UNKNOWN
