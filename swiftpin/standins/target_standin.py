"""Stand-in of a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time
from typing import Final

from aiohttp.web import BaseRequest, Response, StreamResponse

from swiftpin.core import callback, monotonic_now
from swiftpin.helpers.address import Address
from swiftpin.standins.http_standin import ANY_PORT, HttpStandin, json_response
from swiftpin.standins.load_history import LoadHistory
from swiftpin.standins.load_report import LoadReport
from swiftpin.standins.target_boot import TargetBoot
from swiftpin.standins.target_control import TargetControl
from swiftpin.standins.target_executor import TargetExecutor
from swiftpin.standins.target_faults import TargetFaults
from swiftpin.standins.target_options import TargetOptions
from swiftpin.trace.trace_event import TraceEvent
from swiftpin.trace.writer import TraceWriter

PATH_CONTROL: Final = "/_target/"
PATH_STATUS: Final = "/_target/status"
CRASH_STATUS: Final = 70
"""Exit status of a process that a request crashed."""
LOOK_INTERVAL: Final = 0.05
"""Longest time in seconds between looks at lapses and load."""
MIN_LOOK_INTERVAL: Final = 0.002
FREEZE_DELAY: Final = 0.01
"""Seconds left for answering the call that orders a freeze."""

COUNT_CONTROL: Final = "control"
COUNT_REQUESTS: Final = "requests"


class TargetStandin(HttpStandin[TargetFaults]):
    """A target that checks grants, queues, and executes requests on keys.

    Each start is a new boot without grants and state. `on_event` hears of every
    trace event. `on_crash` is called when a request crashes the target; unless given
    the target is killed within its process, as by `kill`.
    """

    def __init__(
        self,
        options: TargetOptions,
        *,
        address: Address | None = None,
        on_event: Callable[[TraceEvent], None] | None = None,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(TargetFaults(), address or ANY_PORT)
        self._options = options
        self._on_event = on_event
        self._on_crash = on_crash
        self._writer: TraceWriter | None = None
        self._looker: asyncio.Task[None] | None = None
        self._killer: asyncio.Task[None] | None = None
        self._load = LoadHistory(options.load_lag)
        self._begin()

    @property
    def boot_id(self) -> str:
        """Return the id of the present boot."""
        return self._boot.identity.boot_id

    async def async_start(self) -> str:
        """Listen under a new boot id and return the base URL."""
        if self._options.trace is not None:
            self._writer = TraceWriter(self._options.trace)
        self._begin()
        url = await super().async_start()
        self._looker = asyncio.create_task(self._async_look())
        return url

    async def async_stop(self) -> None:
        """Let executions end shortly, give up all slices and close."""
        if self._killer is not None:
            await self._killer
            self._killer = None
        await super().async_stop()
        self._end()

    @callback
    def kill(self) -> None:
        """End without finishing anything; `async_stop` frees what is left."""
        self._end()
        for connection in self.open_connections():
            if connection.transport is not None:
                connection.transport.abort()
        self._killer = asyncio.create_task(super().async_stop())

    @callback
    def freeze(self, seconds: float) -> None:
        """Block the whole process, as a pause of it would."""
        time.sleep(seconds)

    async def _async_call(self, request: BaseRequest) -> StreamResponse:
        """Carry out a control call or a caller's request."""
        now = monotonic_now()
        if not request.path.startswith(PATH_CONTROL):
            self.counters.add(COUNT_REQUESTS, now)
            return await self._executor.async_execute(request)
        self.counters.add(COUNT_CONTROL, now)
        if request.path == PATH_STATUS:
            return self._status(now)
        return await self._control.async_call(request)

    @callback
    def _status(self, now: float) -> Response:
        """Answer a probe."""
        load = self._reported_load(now)
        return json_response(
            {
                "target": self._options.name,
                "boot_id": self.boot_id,
                "clock": now,
                "slots": self._options.slots,
                "busy": load.busy,
                "queued": load.queued,
                "connections": load.connections,
                "draining": self._faults.drain,
                "cold": load.cold,
                "checks_grants": not self._options.unchecked,
            }
        )

    def _reported_load(self, now: float) -> LoadReport:
        """Return the load that the status shows."""
        if self._faults.health_lies:
            return LoadReport()
        if self._options.load_lag:
            return self._load.report(now)
        return self._present_load(now)

    def _present_load(self, now: float) -> LoadReport:
        """Return the true load."""
        return LoadReport(
            busy=self._boot.slots.busy,
            queued=self._boot.slots.queued,
            connections=len(self.open_connections()),
            cold=self._executor.work.is_cold(now),
        )

    async def _async_look(self) -> None:
        """Notice lapses when they come, and load and faults now and then."""
        while True:
            now = monotonic_now()
            self._boot.grants.lapse(now)
            self._executor.admission.note_drain(self._faults, now)
            if self._options.load_lag:
                self._load.add(self._present_load(now), now)
            self._take_freeze()
            until_lapse = max(MIN_LOOK_INTERVAL, self._boot.grants.lapse_at - now)
            await asyncio.sleep(min(until_lapse, LOOK_INTERVAL))

    @callback
    def _take_freeze(self) -> None:
        """Freeze shortly if the faults say so."""
        freeze_ms, self._faults.freeze_ms = self._faults.freeze_ms, 0.0
        if freeze_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(FREEZE_DELAY, self.freeze, freeze_ms / 1000)

    @callback
    def _begin(self) -> None:
        """Begin a new boot."""
        self._boot = TargetBoot(self._options, self._record, monotonic_now())
        self._control = TargetControl(self._boot, unchecked=self._options.unchecked)
        self._executor = TargetExecutor(self, self._boot, self._options, self._crash)

    @callback
    def _end(self) -> None:
        """End the boot; a second end changes nothing."""
        if self._looker is not None:
            self._looker.cancel()
            self._looker = None
        self._boot.end(monotonic_now())
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    @callback
    def _crash(self) -> None:
        """Die as the request that runs demands."""
        self._boot.end(monotonic_now())
        (self._on_crash or self.kill)()

    @callback
    def _record(self, event: TraceEvent) -> None:
        """Pass an event to the trace file and the listener."""
        if self._writer is not None:
            self._writer.write(event)
        if self._on_event is not None:
            self._on_event(event)
