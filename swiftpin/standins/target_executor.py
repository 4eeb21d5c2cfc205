"""Callers' requests at a stand-in target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from aiohttp.web import BaseRequest, Response, StreamResponse
import orjson

from swiftpin.const import HEADER_REQUEST_ID, HEADER_TARGET_REFUSAL
from swiftpin.core import callback, monotonic_now
from swiftpin.standins.answer_fault import AnswerFault
from swiftpin.standins.bundle_sender import PATH_BUNDLE, BundleSender
from swiftpin.standins.data_request import DataRequest, parse_data_request
from swiftpin.standins.execution_work import ExecutionWork
from swiftpin.standins.http_standin import (
    CONTENT_TYPE_JSON,
    HttpStandin,
    json_response,
)
from swiftpin.standins.key_entry import KeyEntry
from swiftpin.standins.refusal import Refusal
from swiftpin.standins.running_execution import RunningExecution
from swiftpin.standins.target_admission import TargetAdmission
from swiftpin.standins.target_boot import TargetBoot
from swiftpin.standins.target_faults import TargetFaults
from swiftpin.standins.target_options import TargetOptions
from swiftpin.trace.digest import BodyDigest, body_digest
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.refuse_event import RefuseEvent

HEADER_TARGET_NAME: Final = "Target-Name"
HEADER_BODY_DIGEST: Final = "X-Body-Digest"
METHODS_READ: Final = frozenset({"GET", "HEAD"})
METHODS_CREATE: Final = frozenset({"POST", "PUT"})


class TargetExecutor:
    """Takes, queues, executes and answers requests; `crash` ends the target."""

    def __init__(
        self,
        standin: HttpStandin[TargetFaults],
        boot: TargetBoot,
        options: TargetOptions,
        crash: Callable[[], None],
    ) -> None:
        self._standin = standin
        self._boot = boot
        self._unchecked = options.unchecked
        self._crash = crash
        self._bundles = BundleSender(standin)
        self.admission = TargetAdmission(boot, options)
        self.work = ExecutionWork(options, boot.started_at)

    async def async_execute(self, request: BaseRequest) -> StreamResponse:
        """Carry out one request."""
        faults = self._standin.faults
        if faults.drop_before_next > 0:
            faults.drop_before_next -= 1
            return self._standin.drop(request)
        now = monotonic_now()
        try:
            data = parse_data_request(
                request.method, request.path, request.headers, now
            )
        except ValueError as err:
            return json_response({"error": str(err)}, 400)
        refusal = self.admission.at_arrival(data, faults, now)
        if refusal is not None:
            return self._refuse(data, refusal)
        digest = await _async_read_body(request)
        return await self._async_queue(request, data, digest)

    async def _async_queue(
        self, request: BaseRequest, data: DataRequest, digest: str
    ) -> StreamResponse:
        """Wait for a slot and execute in it."""
        timeout = None
        if data.deadline is not None:
            timeout = max(0.0, data.deadline - monotonic_now())
        if not await self._boot.slots.async_acquire(timeout):
            return self._refuse(data, Refusal.DEADLINE)
        try:
            return await self._async_start(request, data, digest)
        finally:
            self._boot.slots.release()

    async def _async_start(
        self, request: BaseRequest, data: DataRequest, digest: str
    ) -> StreamResponse:
        """Start the execution, if it still may, and see to its end."""
        now = monotonic_now()
        refusal = self.admission.at_start(data, self._standin.faults, now)
        if refusal is not None:
            return self._refuse(data, refusal)
        execution = RunningExecution(self._boot, data, now, unchecked=self._unchecked)
        try:
            return await self._async_run(request, execution, digest, now)
        finally:
            execution.end(ExecutionOutcome.ABORTED, None, monotonic_now())

    async def _async_run(
        self,
        request: BaseRequest,
        execution: RunningExecution,
        digest: str,
        now: float,
    ) -> StreamResponse:
        """Work, look at the grant again and take effect."""
        data = execution.data
        ends_at = now + self.work.duration(data, self._standin.faults, now)
        in_time = await self.work.async_work(request, data, ends_at)
        if self._standin.faults.hang:
            await self._standin.async_wait_hang(request)
        if self._takes_crash(data):
            self._crash()
            return self._standin.drop(request)
        if not in_time:
            return json_response({"error": "aborted"}, 504, self._headers(data))
        refusal = execution.refusal(monotonic_now())
        if refusal is not None:
            execution.end(ExecutionOutcome.LAPSED, None, monotonic_now())
            return self._refuse(data, refusal)
        return await self._async_answer(request, execution, digest)

    async def _async_answer(
        self, request: BaseRequest, execution: RunningExecution, digest: str
    ) -> StreamResponse:
        """Take effect and send the answer, or what a fault leaves of it."""
        data = execution.data
        fault = self._take_answer_fault()
        is_bundle = data.path.startswith(PATH_BUNDLE)
        if is_bundle and data.method in METHODS_READ and fault is not AnswerFault.DROP:
            headers = self._headers(data)
            return await self._bundles.async_send(request, execution, headers, fault)
        body = orjson.dumps(self._take_effect(data, digest))
        sent_digest = body_digest(body)
        is_sent = fault is AnswerFault.NONE and request.transport is not None
        execution.end(
            ExecutionOutcome.DONE, sent_digest if is_sent else None, monotonic_now()
        )
        response = Response(
            body=body,
            status=201 if data.method in METHODS_CREATE else 200,
            headers={**self._headers(data), HEADER_BODY_DIGEST: sent_digest},
            content_type=CONTENT_TYPE_JSON,
        )
        match fault:
            case AnswerFault.NONE:
                return response
            case AnswerFault.DROP:
                return self._standin.drop(request)
            case AnswerFault.CUT:
                return await self._async_cut(request, response, body)

    @callback
    def _take_effect(self, data: DataRequest, digest: str) -> dict[str, Any]:
        """Change the key's state unless the request reads; return the answer."""
        state = self._boot.state(data)
        identity = self._boot.identity
        about = {"target": identity.target, "boot_id": identity.boot_id}
        if data.method in METHODS_READ:
            return {**state.as_document(), **about}
        entry = KeyEntry(
            request_id=data.request_id,
            idempotency_key=data.idempotency_key,
            body_digest=digest,
        )
        state.append(entry)
        return {"key": data.state_key, "count": state.count, **about}

    async def _async_cut(
        self, request: BaseRequest, whole: Response, body: bytes
    ) -> StreamResponse:
        """Send the head and half of the body, then close the connection."""
        response = StreamResponse(status=whole.status, headers=whole.headers)
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        self._standin.cut(request)
        return response

    @callback
    def _refuse(self, data: DataRequest, refusal: Refusal) -> Response:
        """Return the answer to a request that was not executed."""
        self._boot.record(
            RefuseEvent(
                target=self._boot.identity.target,
                request_id=data.request_id,
                why=refusal.value,
                at=monotonic_now(),
            )
        )
        headers = {**self._headers(data), HEADER_TARGET_REFUSAL: refusal.value}
        return json_response({"refused": refusal.value}, refusal.status, headers)

    def _headers(self, data: DataRequest) -> dict[str, str]:
        """Return the headers of every answer."""
        target = self._boot.identity.target
        return {HEADER_TARGET_NAME: target, HEADER_REQUEST_ID: data.request_id}

    @callback
    def _take_answer_fault(self) -> AnswerFault:
        """Return what becomes of the next answer."""
        faults = self._standin.faults
        if faults.drop_answer_next > 0:
            faults.drop_answer_next -= 1
            return AnswerFault.DROP
        if faults.cut_answer_next > 0:
            faults.cut_answer_next -= 1
            return AnswerFault.CUT
        return AnswerFault.NONE

    @callback
    def _takes_crash(self, data: DataRequest) -> bool:
        """Return whether the execution kills the target."""
        if data.crash:
            return True
        if self._standin.faults.crash_next <= 0:
            return False
        self._standin.faults.crash_next -= 1
        return True


async def _async_read_body(request: BaseRequest) -> str:
    """Read the body without keeping it and return its digest."""
    if not request.can_read_body:
        return body_digest(b"")
    digest = BodyDigest()
    async for chunk in request.content.iter_any():
        digest.update(chunk)
    return digest.hexdigest()
