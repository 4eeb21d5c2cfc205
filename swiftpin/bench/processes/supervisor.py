"""Starts processes, signals them one by one and ends them all."""

from __future__ import annotations

import asyncio
import atexit
from contextlib import suppress
from pathlib import Path
import signal
from types import TracebackType
from typing import Final, Self

from aiohttp import ClientSession

from swiftpin.bench.processes.limits import check_limits
from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.readiness import async_wait_ready
from swiftpin.core import callback, monotonic_now
from swiftpin.trace.supervisor_event import SupervisorEvent
from swiftpin.trace.writer import TraceWriter

DEFAULT_READY_TIMEOUT: Final = 30.0
END_GRACE: Final = 2.0
REAP_TIMEOUT: Final = 10.0
TRACE_FILE: Final = "supervisor.trace"


class Supervisor:
    """Owner of the processes of one run; use it as a context manager.

    Only processes that it started are ever signalled, each by its own id.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.trace_path = directory / TRACE_FILE
        self._trace = TraceWriter(self.trace_path)
        self._processes_by_name: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> Self:
        # A second Ctrl-C breaks off the orderly end; what is still running then
        # would stay behind and keep its ports.
        atexit.register(self.kill_all)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            await self.async_end()
        finally:
            self.kill_all()
            atexit.unregister(self.kill_all)
            self._trace.close()

    @property
    def running(self) -> list[ManagedProcess]:
        """Return the processes that have not ended, oldest first."""
        return [item for item in self._processes_by_name.values() if item.is_running]

    def process(self, name: str) -> ManagedProcess:
        """Return the last process started under the name."""
        return self._processes_by_name[name]

    @callback
    def start(self, spec: ProcessSpec) -> ManagedProcess:
        """Start a process; its name may be that of one which has ended."""
        running = self.running
        check_limits([item.pid for item in running])
        if any(item.spec.name == spec.name for item in running):
            raise ValueError(f"{spec.name} runs already")
        process = ManagedProcess(spec, self.directory / f"{spec.name}.log")
        self._processes_by_name[spec.name] = process
        self._trace.write(
            SupervisorEvent(kind="started", name=spec.name, at=monotonic_now())
        )
        return process

    async def async_wait_ready(
        self, names: list[str], timeout: float = DEFAULT_READY_TIMEOUT
    ) -> None:
        """Wait until all the processes are ready; errors as for one of them."""
        async with ClientSession() as session:
            waits = [
                async_wait_ready(session, self.process(name), timeout) for name in names
            ]
            await asyncio.gather(*waits)

    async def async_start_ready(
        self, spec: ProcessSpec, timeout: float = DEFAULT_READY_TIMEOUT
    ) -> ManagedProcess:
        """Start a process and wait until it is ready."""
        process = self.start(spec)
        await self.async_wait_ready([spec.name], timeout)
        return process

    @callback
    def kill(self, name: str) -> float:
        """Kill a process outright and return when, in monotonic seconds."""
        now = self._signal(name, signal.SIGKILL)
        self._trace.write(SupervisorEvent(kind="killed", name=name, at=now))
        return now

    @callback
    def freeze(self, name: str) -> float:
        """Stop a process in its tracks and return when."""
        now = self._signal(name, signal.SIGSTOP)
        self._trace.write(SupervisorEvent(kind="frozen", name=name, at=now))
        return now

    @callback
    def thaw(self, name: str) -> float:
        """Let a frozen process go on and return when."""
        now = self._signal(name, signal.SIGCONT)
        self._trace.write(SupervisorEvent(kind="thawed", name=name, at=now))
        return now

    @callback
    def terminate(self, name: str) -> float:
        """Ask a process to stop gracefully and return when."""
        return self._signal(name, signal.SIGTERM)

    async def async_wait_ended(self, name: str, timeout: float) -> int:
        """Return the exit code once the process has ended; raises `TimeoutError`."""
        process = self.process(name)
        await async_poll(lambda: not process.is_running, timeout)
        return process.wait(REAP_TIMEOUT)

    async def async_end(self, grace: float = END_GRACE) -> None:
        """End every process: gracefully at first, by force after `grace` seconds."""
        for process in self.running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await async_poll(lambda: not self.running, grace)
        self.kill_all()

    def kill_all(self) -> None:
        """Kill and reap every process that still runs."""
        running = self.running
        for process in running:
            process.kill_group()
        for process in running:
            process.wait(REAP_TIMEOUT)

    def _signal(self, name: str, number: signal.Signals) -> float:
        """Send the signal and return the time just before."""
        now = monotonic_now()
        self.process(name).signal(number)
        return now
