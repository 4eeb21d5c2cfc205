"""Sending of bundles."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp.web import BaseRequest, Response, StreamResponse

from swiftpin.core import monotonic_now
from swiftpin.standins.answer_fault import AnswerFault
from swiftpin.standins.bundle import bundle_chunks, parse_bundle_size
from swiftpin.standins.byte_range import ByteRange, parse_range
from swiftpin.standins.http_standin import HttpStandin, json_response
from swiftpin.standins.running_execution import RunningExecution
from swiftpin.standins.target_faults import TargetFaults
from swiftpin.trace.digest import BodyDigest
from swiftpin.trace.execution_outcome import ExecutionOutcome

PATH_BUNDLE: Final = "/bundle/"
CONTENT_TYPE: Final = "application/octet-stream"


class BundleSender:
    """Streams a bundle or a range of it, at `?rate=` bytes a second if given."""

    def __init__(self, standin: HttpStandin[TargetFaults]) -> None:
        self._standin = standin

    async def async_send(
        self,
        request: BaseRequest,
        execution: RunningExecution,
        headers: dict[str, str],
        fault: AnswerFault,
    ) -> StreamResponse:
        """Answer a request for a bundle."""
        try:
            size = parse_bundle_size(request.path.removeprefix(PATH_BUNDLE))
            rate = float(request.query.get("rate", "0"))
        except ValueError as err:
            execution.end(ExecutionOutcome.DONE, None, monotonic_now())
            return json_response({"error": str(err)}, 400, headers)
        part = parse_range(request.headers.get("Range"), size)
        if part is None:
            execution.end(ExecutionOutcome.DONE, None, monotonic_now())
            headers = {**headers, "Content-Range": f"bytes */{size}"}
            return Response(status=416, headers=headers)
        response = _response(part, headers)
        await response.prepare(request)
        if request.method == "HEAD":
            execution.end(ExecutionOutcome.DONE, None, monotonic_now())
            return response
        await self._async_stream(request, response, execution, part, rate, fault)
        return response

    async def _async_stream(
        self,
        request: BaseRequest,
        response: StreamResponse,
        execution: RunningExecution,
        part: ByteRange,
        rate: float,
        fault: AnswerFault,
    ) -> None:
        """Send the part's bytes; the execution ends with the last of them."""
        digest = BodyDigest()
        started_at = monotonic_now()
        sent = 0
        for chunk in bundle_chunks(part):
            await self._async_pace(request, started_at, sent, rate)
            if execution.is_late(monotonic_now()):
                self._standin.drop(request)
                return
            if fault is AnswerFault.CUT and sent + len(chunk) > part.length // 2:
                await response.write(chunk[: part.length // 2 - sent])
                self._standin.cut(request)
                execution.end(ExecutionOutcome.DONE, None, monotonic_now())
                return
            await response.write(chunk)
            digest.update(chunk)
            sent += len(chunk)
        execution.end(ExecutionOutcome.DONE, digest.hexdigest(), monotonic_now())

    async def _async_pace(
        self, request: BaseRequest, started_at: float, sent: int, rate: float
    ) -> None:
        """Wait as the rate and a hang demand."""
        if self._standin.faults.hang:
            await self._standin.async_wait_hang(request)
        if rate <= 0:
            return
        ahead = started_at + sent / rate - monotonic_now()
        if ahead > 0:
            await asyncio.sleep(ahead)


def _response(part: ByteRange, headers: dict[str, str]) -> StreamResponse:
    """Return the head of the answer that carries a part."""
    is_whole = part.length == part.size
    response = StreamResponse(status=200 if is_whole else 206, headers=headers)
    response.headers["Accept-Ranges"] = "bytes"
    if not is_whole:
        response.headers["Content-Range"] = part.content_range
    response.content_type = CONTENT_TYPE
    response.content_length = part.length
    return response
