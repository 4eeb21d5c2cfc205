"""One worker process of the load generator."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
import resource
from typing import Final

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from swiftpin.bench.load.arrivals import arrival_times
from swiftpin.bench.load.caller import Caller
from swiftpin.bench.load.load_mode import ClosedLoop, OpenLoop
from swiftpin.bench.load.recorder import Recorder
from swiftpin.bench.load.request_factory import RequestFactory
from swiftpin.bench.load.worker_result import WorkerResult
from swiftpin.bench.load.worker_spec import WorkerSpec
from swiftpin.core import monotonic_now
from swiftpin.trace.writer import TraceWriter

MAX_CONNECTIONS: Final = 1_000
MAX_OPEN_REQUESTS: Final = 20_000


class LoadWorker:
    """Runs one worker's share of the load."""

    def __init__(self, spec: WorkerSpec, start: float) -> None:
        load = spec.load
        self._spec = spec
        self._load = load
        self._start = start
        self._random = Random(f"worker {load.seed} {spec.index}")
        self._factory = RequestFactory(load, spec.index)
        self._recorder = Recorder(load, start + load.warmup)
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(self) -> WorkerResult:
        """Send the load and return what was counted."""
        trace = self._open_trace()
        connector = TCPConnector(limit=MAX_CONNECTIONS)
        try:
            async with ClientSession(
                connector=connector,
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
            ) as session:
                caller = Caller(
                    session, self._load, self._recorder, self._random, trace
                )
                await self._async_send_all(caller)
                await self._async_drain()
        finally:
            if trace is not None:
                trace.close()
        return self._recorder.result(
            index=self._spec.index, started=self._start, cpu=_cpu_seconds()
        )

    def _open_trace(self) -> TraceWriter | None:
        """Return the trace that the specification asks for."""
        if self._spec.trace_path is None:
            return None
        return TraceWriter(Path(self._spec.trace_path))

    async def _async_send_all(self, caller: Caller) -> None:
        """Send everything that becomes due."""
        match self._load.mode:
            case OpenLoop(rate=rate):
                await self._async_send_open(caller, rate)
            case ClosedLoop(callers=callers):
                await self._async_send_closed(caller, callers)

    async def _async_send_open(self, caller: Caller, rate: float) -> None:
        """Send each request when it is due, whatever became of the earlier ones."""
        times = arrival_times(
            rate=rate * self._factory.sampler.share,
            start=self._start,
            duration=self._load.duration,
            random=Random(f"arrivals {self._load.seed} {self._spec.index}"),
        )
        for at in times:
            delay = at - monotonic_now()
            if delay > 0:
                await asyncio.sleep(delay)
            while len(self._tasks) >= MAX_OPEN_REQUESTS:
                # Late rather than left out: the latency still counts from `at`.
                await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
            task = asyncio.create_task(caller.async_call(self._factory.make(at)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_send_closed(self, caller: Caller, callers: int) -> None:
        """Let this worker's share of the callers send one request after another."""
        own = len(range(self._spec.index, callers, self._load.workers))
        await asyncio.sleep(max(0.0, self._start - monotonic_now()))
        async with asyncio.TaskGroup() as group:
            for _ in range(own):
                group.create_task(self._async_loop(caller))

    async def _async_loop(self, caller: Caller) -> None:
        """Send requests one after another until the end of the run."""
        end = self._start + self._load.duration
        while (now := monotonic_now()) < end:
            # Timers of uvloop may fire up to a millisecond early; a request from before
            # the start would be left out of the counts, as one of the warm-up.
            await caller.async_call(self._factory.make(max(now, self._start)))

    async def _async_drain(self) -> None:
        """Wait for open requests, then give up the rest."""
        tasks = list(self._tasks)
        if not tasks:
            return
        _, open_tasks = await asyncio.wait(tasks, timeout=self._load.drain)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)


def _cpu_seconds() -> float:
    """Return the processor time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
