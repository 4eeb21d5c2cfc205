"""Starts the load generator's workers."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import orjson

from swiftpin.bench.exceptions import LoadError
from swiftpin.bench.load.load_run import LoadRun
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.worker_spec import WorkerSpec
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.supervisor import Supervisor
from swiftpin.core import monotonic_now

READY_TIMEOUT: Final = 30.0
START_DELAY: Final = 0.2


class LoadDriver:
    """Runs loads by worker processes of one supervisor."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor
        self._runs = 0

    async def async_start(self, load: LoadSpec) -> LoadRun:
        """Start the workers together and return the running load."""
        self._runs += 1
        workers_by_name = {
            f"load-{self._runs}-{index}": self._worker_spec(load, index)
            for index in range(load.workers)
        }
        for name, worker in workers_by_name.items():
            self._start_worker(name, worker)
        await self._async_wait_ready(workers_by_name)
        start = monotonic_now() + START_DELAY
        self._write_start(
            Path(workers_by_name[f"load-{self._runs}-0"].start_path), start
        )
        return LoadRun(self._supervisor, load, workers_by_name, start)

    def _path(self, suffix: str) -> str:
        """Return a path in the supervisor's directory."""
        return str(self._supervisor.directory / f"load-{self._runs}{suffix}")

    def _worker_spec(self, load: LoadSpec, index: int) -> WorkerSpec:
        """Return what one worker is to do."""
        return WorkerSpec(
            index=index,
            load=load,
            ready_path=self._path(f"-{index}.ready"),
            start_path=self._path(".start"),
            result_path=self._path(f"-{index}.result"),
            trace_path=self._path(f"-{index}.trace") if load.traced else None,
        )

    def _start_worker(self, name: str, worker: WorkerSpec) -> None:
        """Start one worker process."""
        path = self._supervisor.directory / f"{name}.spec"
        path.write_bytes(orjson.dumps(worker))
        self._supervisor.start(
            ProcessSpec(name=name, module="swiftpin.bench.load", arguments=(str(path),))
        )

    async def _async_wait_ready(self, workers_by_name: dict[str, WorkerSpec]) -> None:
        """Wait until every worker could start."""
        await async_poll(lambda: self._are_ready(workers_by_name), READY_TIMEOUT)

    def _are_ready(self, workers_by_name: dict[str, WorkerSpec]) -> bool:
        """Return whether every worker could start; raises when one has ended."""
        for name in workers_by_name:
            process = self._supervisor.process(name)
            if not process.is_running:
                raise LoadError(f"{name} ended:\n{process.log_tail()}")
        workers = workers_by_name.values()
        return all(Path(worker.ready_path).exists() for worker in workers)

    @staticmethod
    def _write_start(path: Path, start: float) -> None:
        """Publish the start time at once and whole."""
        partial = path.with_suffix(".partial")
        partial.write_text(repr(start))
        partial.rename(path)
