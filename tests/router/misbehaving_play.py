"""A router process beside clients that misbehave, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
import sys
from typing import Final

from aiohttp import ClientSession

from swiftpin.router.listeners import METRICS_PORT
from tests.router.site import MAX_WAIT
from tests.router.slow_reader_play import PlayOptions, SlowReaderPlay

MEMORY_MB: Final = 300.0
DESCRIPTORS: Final = 4100.0
"""Memory and descriptors of an instance, as the platform states them."""

SAMPLE_INTERVAL: Final = 0.05
RETRY_INTERVAL: Final = 0.1
SERVED: Final = "200"


class Port(StrEnum):
    """Listeners of an instance."""

    CALLERS = "callers"
    READINESS = "readiness"
    RELAYS = "relays"
    METRICS = "metrics"
    LINKS = "links"


@dataclass(frozen=True, kw_only=True, slots=True)
class Crowd:
    """Clients of one kind at one listener."""

    kind: str
    clients: int
    port: Port = Port.CALLERS
    seconds: float = 3.0
    """Time for which the clients press."""


@dataclass(kw_only=True, slots=True)
class CrowdResult:
    """What the router's process used, and which ordinary requests were served."""

    peak_resident: float = 0.0
    """Bytes."""

    peak_descriptors: int = 0
    has_exited: bool = False
    is_served_beside: bool = False
    is_served_after: bool = False
    stops_when_told: bool = False
    connects: int = 0


class MisbehavingPlay(SlowReaderPlay):
    """Lets one crowd press on a router and observes the process."""

    def __init__(self, crowd: Crowd) -> None:
        limits = {"memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS}
        super().__init__(PlayOptions(callers=0, limits=limits))
        self._crowd = crowd
        self._observed = CrowdResult()

    async def async_observe(self) -> CrowdResult:
        """Run the play once."""
        observed = self._observed
        async with self.async_running():
            sampling = asyncio.create_task(self._async_sample_process())
            async with ClientSession() as session, self._async_crowd():
                try:
                    async with asyncio.timeout(self._crowd.seconds):
                        await self._async_until_served(session)
                        observed.is_served_beside = True
                        await asyncio.Event().wait()
                except TimeoutError:
                    pass
            with contextlib.suppress(TimeoutError):
                async with ClientSession() as session, asyncio.timeout(MAX_WAIT):
                    await self._async_until_served(session)
                    observed.is_served_after = True
            sampling.cancel()
            self._sample_process()
            await self._async_terminate()
        return observed

    async def async_stop_beside(self) -> bool:
        """Ask the process to end beside the crowd; return whether it does."""
        async with self.async_running(), self._async_crowd():
            await asyncio.sleep(self._crowd.seconds)
            await self._async_terminate()
        return self._observed.stops_when_told

    @contextlib.asynccontextmanager
    async def _async_crowd(self) -> AsyncIterator[None]:
        """Start the crowd, wait until all of it has tried to connect, and end it."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.router.misbehaving_callers",
            self._port_address(self._crowd.port),
            self._crowd.kind,
            str(self._crowd.clients),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT):
                    await process.stdout.readline()
            yield
        finally:
            try:
                async with asyncio.timeout(MAX_WAIT):
                    output, _ = await process.communicate(b"")
                self._observed.connects = int(output.split()[-1])
            except TimeoutError:
                process.kill()
                await process.wait()

    async def _async_until_served(self, session: ClientSession) -> None:
        """Send ordinary requests, one after the other, until one is served."""
        number = 0
        while await self._async_ordinary(session, f"o{number}") != SERVED:
            number += 1
            await asyncio.sleep(RETRY_INTERVAL)

    async def _async_terminate(self) -> None:
        """Ask the process to end, and note whether it does."""
        process = self._router
        assert process is not None
        if process.returncode is not None:
            return
        process.terminate()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT):
                await process.wait()
                self._observed.stops_when_told = True

    async def _async_sample_process(self) -> None:
        """Sample memory and descriptors until cancelled."""
        while True:
            self._sample_process()
            await asyncio.sleep(SAMPLE_INTERVAL)

    def _sample_process(self) -> None:
        """Record the peaks of memory and descriptors, and whether the process runs."""
        assert self._router is not None
        observed = self._observed
        observed.has_exited |= self._router.returncode is not None
        peak = self._resident("VmHWM")
        observed.peak_resident = max(observed.peak_resident, peak)
        with contextlib.suppress(OSError):
            count = sum(1 for _ in Path(f"/proc/{self._router.pid}/fd").iterdir())
            observed.peak_descriptors = max(observed.peak_descriptors, count)

    def _port_address(self, port: Port) -> str:
        """Return the address of a listener."""
        callers, ready, peers, _ = self._ports
        number = {
            Port.CALLERS: callers,
            Port.READINESS: ready,
            Port.RELAYS: peers + 1,
            Port.METRICS: METRICS_PORT,
            Port.LINKS: peers,
        }[port]
        return f"{self._host}:{number}"
