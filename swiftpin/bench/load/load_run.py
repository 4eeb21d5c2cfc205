"""A load that is running."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Final

from pydantic import TypeAdapter

from swiftpin.bench.exceptions import LoadError
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.merge import merge_results
from swiftpin.bench.load.worker_result import WorkerResult
from swiftpin.bench.load.worker_spec import WorkerSpec
from swiftpin.bench.processes.supervisor import Supervisor
from swiftpin.core import monotonic_now

END_MARGIN: Final = 20.0


class LoadRun:
    """Load between `start` and `end`, in monotonic seconds.

    `measure_from` is the end of the warm-up.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        load: LoadSpec,
        workers_by_name: dict[str, WorkerSpec],
        start: float,
    ) -> None:
        self._supervisor = supervisor
        self._load = load
        self._workers_by_name = workers_by_name
        self.start = start
        self.measure_from = start + load.warmup
        self.end = start + load.duration

    @property
    def trace_paths(self) -> list[Path]:
        """Return the callers' traces; they are complete after `async_result`."""
        paths = [item.trace_path for item in self._workers_by_name.values()]
        return [Path(path) for path in paths if path is not None]

    async def async_sleep_until(self, at: float) -> None:
        """Sleep until `at` seconds after the start of the load."""
        await asyncio.sleep(max(0.0, self.start + at - monotonic_now()))

    async def async_result(self) -> LoadResult:
        """Wait for the end of the load and return its result."""
        timeout = self.end + self._load.drain + END_MARGIN - monotonic_now()
        for name in self._workers_by_name:
            code = await self._supervisor.async_wait_ended(name, timeout)
            if code != 0:
                tail = self._supervisor.process(name).log_tail()
                raise LoadError(f"{name} ended with {code}:\n{tail}")
        adapter = TypeAdapter(WorkerResult)
        paths = [Path(item.result_path) for item in self._workers_by_name.values()]
        return merge_results([adapter.validate_json(p.read_bytes()) for p in paths])
