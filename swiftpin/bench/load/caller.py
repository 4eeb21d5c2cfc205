"""A caller that retries until it is answered."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from swiftpin.bench.load.answer_event import answer_event
from swiftpin.bench.load.backoff import retry_wait
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.recorder import Recorder
from swiftpin.bench.load.request_kind import RequestKind
from swiftpin.bench.load.request_tries import RequestTries
from swiftpin.bench.load.stated_execution import stated_execution
from swiftpin.bench.load.try_answer import TryAnswer
from swiftpin.bench.load.verdict import Verdict, judge
from swiftpin.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_RESULT,
    HEADER_TICKET,
    HEADER_TIMEOUT,
)
from swiftpin.core import callback, monotonic_now
from swiftpin.trace.digest import body_digest
from swiftpin.trace.writer import TraceWriter

HEADER_WORK_MS: Final = "X-Work-Ms"
MAX_UNKNOWN_TRIES: Final = 5
"""Answers "outcome unknown" after which a caller takes that for the answer."""


class Caller:
    """Sends requests of one worker, each until it is answered or cancelled."""

    def __init__(
        self,
        session: ClientSession,
        load: LoadSpec,
        recorder: Recorder,
        random: Random,
        trace: TraceWriter | None,
    ) -> None:
        self._session = session
        self._load = load
        self._recorder = recorder
        self._random = random
        self._trace = trace
        self._timeout = ClientTimeout(total=load.attempt_timeout)
        lossy = frozenset(load.lossy_entries)
        self._steady_entries = [item for item in load.entries if item not in lossy]

    async def async_call(self, request: LoadRequest) -> None:
        """Send the request until it is answered or tried as often as it may be.

        Cancel to give it up.
        """
        self._recorder.begin(request, monotonic_now())
        tries = RequestTries()
        verdict = Verdict.RETRY
        try:
            verdict = await self._async_try_until_answered(request, tries)
        finally:
            now = monotonic_now()
            self._recorder.end(request, verdict, now, waited=tries.waits)

    async def _async_try_until_answered(
        self, request: LoadRequest, tries: RequestTries
    ) -> Verdict:
        """Try again and again, with growing waits in between."""
        while True:
            entry = self._choose_entry(request, tries)
            verdict = await self._async_try(request, entry, tries)
            tries.count += 1
            if verdict in (Verdict.ANSWERED, Verdict.REFUSED):
                return verdict
            tries.unknown += verdict is Verdict.UNKNOWN
            if tries.unknown >= MAX_UNKNOWN_TRIES:
                return Verdict.UNKNOWN
            if tries.count == self._load.max_tries:
                return Verdict.RETRY
            await asyncio.sleep(retry_wait(tries.count, self._random))

    @callback
    def _choose_entry(self, request: LoadRequest, tries: RequestTries) -> str:
        """Return where to send the next try, and note a first wait for the key."""
        entries = self._load.entries if tries.count == 0 else self._steady_entries
        entry = self._random.choice(entries)
        if not tries.waits and entry not in self._load.lossy_entries:
            tries.waits = True
            since = request.scheduled if tries.count == 0 else monotonic_now()
            self._recorder.wait(request, since)
        return entry

    async def _async_try(
        self, request: LoadRequest, entry: str, tries: RequestTries
    ) -> Verdict:
        """Send one try and judge its answer."""
        try:
            answer = await self._async_send(request, entry, tries)
        except (ClientError, TimeoutError, OSError) as err:
            self._recorder.tried(request, type(err).__name__)
            return Verdict.RETRY
        result = answer.status if answer.result is None else answer.result
        self._recorder.tried(request, str(result))
        if self._trace is not None:
            self._trace.write(answer_event(request, answer))
        return judge(answer)

    async def _async_send(
        self, request: LoadRequest, entry: str, tries: RequestTries
    ) -> TryAnswer:
        """Return the answer to one try, and keep the ticket that it may name."""
        load_class = request.load_class
        method = "POST" if load_class.kind is RequestKind.BOOKING else "GET"
        headers = self._headers(request)
        if tries.ticket is not None:
            headers[HEADER_TICKET] = tries.ticket
        sent = monotonic_now()
        async with self._session.request(
            method,
            f"http://{entry}/{load_class.service}/{load_class.path}",
            data=request.body or None,
            headers=headers,
            timeout=self._timeout,
        ) as response:
            tries.ticket = response.headers.get(HEADER_TICKET, tries.ticket)
            return await self._async_read(response, sent)

    async def _async_read(self, response: ClientResponse, sent: float) -> TryAnswer:
        """Return the answer with its whole body, or what came of it."""
        whole = True
        body = b""
        try:
            body = await response.read()
        except ClientPayloadError:
            whole = False
        header = response.headers.get(HEADER_RESULT)
        result = None if header is None else int(header)
        return TryAnswer(
            status=response.status,
            result=result,
            executed=stated_execution(result, body),
            request_id=response.headers.get(HEADER_REQUEST_ID),
            body_digest=body_digest(body),
            whole=whole,
            sent=sent,
            at=monotonic_now(),
        )

    @callback
    def _headers(self, request: LoadRequest) -> dict[str, str]:
        """Return the headers of every try of the request."""
        headers = {HEADER_TIMEOUT: str(self._load.request_timeout_ms)}
        if request.key is not None:
            headers[HEADER_KEY] = request.key
        if request.idempotency_key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = request.idempotency_key
        if request.load_class.work_ms is not None:
            headers[HEADER_WORK_MS] = str(request.load_class.work_ms)
        return headers
