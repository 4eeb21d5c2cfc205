"""Log lines and counters of requests."""

from __future__ import annotations

import asyncio
import time
import traceback
from typing import Final

from aiohttp.web import BaseRequest

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import RequestError
from swiftpin.helpers.line_rate_limiter import LineRateLimiter
from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_format import (
    ABSENT,
    format_text,
    format_text_cached,
    format_time,
)
from swiftpin.poison.fingerprint import format_fingerprint
from swiftpin.result import ResultCode
from swiftpin.router.call import Call
from swiftpin.router.decision_basis import current_basis
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.metrics import Metrics

MILLISECONDS: Final = 1000.0
MAX_SERVED_LINES_PER_SECOND: Final = 400
MAX_FAILED_LINES_PER_SECOND: Final = 2000
"""Maximum lines per second for failed requests; a line has about 400 bytes. Each rate
limiter counts the lines that it suppressed, and its next line states the count."""


class RequestLog:
    """Logs the routing decision and the outcome of each request, and counts it."""

    def __init__(
        self,
        *,
        destination: KeyValueDestination,
        maps: KeyMaps,
        directory: TargetDirectory,
        metrics: Metrics,
    ) -> None:
        self._destination = destination
        self._maps = maps
        self._directory = directory
        self._metrics = metrics
        self._served_lines = LineRateLimiter(MAX_SERVED_LINES_PER_SECOND)
        self._failed_lines = LineRateLimiter(MAX_FAILED_LINES_PER_SECOND)

    @callback
    def write_served(self, call: Call | None, started_at: float) -> None:
        """Log a request that got a target's answer."""
        if call is None:
            return
        elapsed = asyncio.get_running_loop().time() - started_at
        late = elapsed > call.route.objective
        self._metrics.record_served(call.service, call.status, elapsed, late=late)
        self._count_steps(call)
        outcome = f"status={call.status} outcome=served"
        self._write("info", call, f"{outcome} late=true" if late else outcome, elapsed)

    @callback
    def write_failed(
        self,
        call: Call | None,
        request: BaseRequest,
        err: RequestError,
        started_at: float,
        *,
        fault: Exception | None = None,
    ) -> None:
        """Log a request that was answered with an error of this instance."""
        elapsed = asyncio.get_running_loop().time() - started_at
        service = ABSENT if call is None else call.service
        self._metrics.record_failed(service, err.code, elapsed)
        self._count_steps(call)
        outcome = _failed_outcome(err)
        if err.retry_after is not None:
            outcome = f"{outcome} retry_after={err.retry_after:.3f}"
        if call is None:
            host_and_path = f"{format_text(request.host)}{format_text(request.path)}"
            outcome = f"asked={host_and_path} {outcome}"
        if fault is not None:
            outcome = f"{outcome} fault={format_text(_format_traceback(fault))}"
        self._write("warning", call, outcome, elapsed)

    @callback
    def write_unparsed(self, err: RequestError) -> None:
        """Log a request that was not valid HTTP and therefore has no id."""
        self._metrics.record_failed(ABSENT, err.code, 0.0)
        self._write("warning", None, _failed_outcome(err), 0.0)

    @callback
    def write_caller_left(self, call: Call | None, started_at: float) -> None:
        """Log a request whose caller disconnected."""
        elapsed = asyncio.get_running_loop().time() - started_at
        service = ABSENT if call is None else call.service
        self._metrics.record_failed(service, ResultCode.CALLER_LEFT, elapsed)
        self._count_steps(call)
        self._write("warning", call, "outcome=CALLER_LEFT", elapsed)

    @callback
    def _count_steps(self, call: Call | None) -> None:
        """Count the wait, the failed steps and the sends of a request."""
        if call is not None:
            self._metrics.record_steps(
                call.service, call.waited, call.step_failures, call.sends
            )
            if call.sends:
                self._metrics.record_way(call.service, is_relayed=bool(call.relay))

    @callback
    def _write(
        self, level: str, call: Call | None, outcome: str, elapsed: float
    ) -> None:
        """Write a line unless its level is off or its rate limit is exceeded."""
        if not self._destination.is_enabled(level):
            return
        rate_limiter = self._served_lines if level == "info" else self._failed_lines
        if not rate_limiter.allow(time.monotonic()):
            return
        if suppressed := rate_limiter.take_suppressed_count():
            outcome = f"{outcome} left_out_before={suppressed}"
        call_fields = "" if call is None else self._format_call(call)
        self._destination.write_line(
            f"time={format_time(time.time())} level={level} event=request{call_fields}"
            f" {outcome} elapsed_ms={elapsed * MILLISECONDS:.1f}",
            level,
        )

    @callback
    def _format_call(self, call: Call) -> str:
        """Return the log fields of a request and of its routing decision."""
        basis = call.basis or current_basis(self._maps, self._directory, call.service)
        notes = format_text("; ".join(call.notes)) if call.notes else ABSENT
        key = ABSENT if call.head.key is None else call.head.key
        way = ""
        if call.relay:
            age = call.relay_evidence_age * MILLISECONDS
            way = f" relay={call.relay} link_evidence_age_ms={age:.0f}"
        return (
            f" request_id={format_text(call.head.id)}"
            f" route={format_text_cached(call.route.name)}"
            f" kind={call.route.kind.value} service={format_text_cached(call.service)}"
            f" configuration={call.configuration} key={key} {basis.format_fields()}"
            f" target={format_text_cached(call.target) if call.target else ABSENT}"
            f"{way} sends={call.sends} waited_ms={call.waited * MILLISECONDS:.1f}"
            f" may_have_run={'true' if call.may_have_run else 'false'} notes={notes}"
            # Finds the other sends of a request that is sent again under other ids.
            f" fingerprint={format_fingerprint(call.fingerprint)}"
            f" caller={format_fingerprint(call.caller)}"
        )


def _failed_outcome(err: RequestError) -> str:
    """Return the log fields of a failed request's outcome."""
    return (
        f"status={err.status} outcome={err.code.name} executed={err.executed.value}"
        f" hint={format_text(err.hint)}"
    )


def _format_traceback(fault: Exception) -> str:
    """Return the traceback of a fault as text."""
    return "".join(traceback.format_exception(fault))
