"""One run of the comparison: each case by each way, in turn."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import orjson

from swiftpin.bench.hop.entry import WARMUP
from swiftpin.bench.hop.hop_case import CASES, HopCase
from swiftpin.bench.hop.hop_point import HopPoint
from swiftpin.bench.hop.hop_way import HopWay
from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.supervisor import Supervisor
from swiftpin.bench.processes.usage import read_usage
from swiftpin.bench.progress import Progress

ENTRY_PATIENCE: Final = 60.0
MILLISECONDS: Final = 1000.0


class HopRun:
    """Starts one holder, and an entry for each measurement."""

    def __init__(
        self, directory: Path, progress: Progress, *, repeats: int, seconds: float
    ) -> None:
        self._supervisor = Supervisor(directory)
        self._progress = progress
        self._repeats = repeats
        self._seconds = seconds
        self._ports = PortAllocator()

    async def async_run(self) -> list[HopPoint]:
        """Return the figures of all cases, ways and repeats."""
        async with self._supervisor as supervisor:
            addresses_by_way = {way: self._ports.allocate() for way in HopWay}
            http = addresses_by_way[HopWay.HTTP]
            holder = await supervisor.async_start_ready(
                ProcessSpec(
                    name="holder",
                    module="swiftpin.bench.hop.holder",
                    arguments=(
                        f"--http={http}",
                        f"--grpc={addresses_by_way[HopWay.GRPC]}",
                    ),
                    ready_url=f"http://{http}/",
                )
            )
            points = []
            for repeat in range(self._repeats):
                for case in CASES:
                    for way in _order(repeat):
                        address = addresses_by_way[way]
                        points.append(
                            await self._async_point(holder, way, address, case, repeat)
                        )
            return points

    async def _async_point(
        self,
        holder: ManagedProcess,
        way: HopWay,
        address: str,
        case: HopCase,
        repeat: int,
    ) -> HopPoint:
        """Run one entry to its end and return the figures of both ends."""
        self._progress.show(f"{case.name} by {way}, repeat {repeat + 1}")
        cpu = read_usage(holder.pid).cpu
        entry = self._supervisor.start(
            self._entry(f"entry-{case.name}-{way}-{repeat}", way, address, case)
        )
        await async_poll(lambda: not entry.is_running, ENTRY_PATIENCE)
        cpu = read_usage(holder.pid).cpu - cpu
        served = int(case.rate * WARMUP) + int(case.rate * self._seconds)
        figures = orjson.loads(entry.log_path.read_bytes().splitlines()[-1])
        return HopPoint(
            way=way,
            case=case.name,
            repeat=repeat,
            rate=case.rate,
            holder_cpu_ms=MILLISECONDS * cpu / served,
            **figures,
        )

    def _entry(
        self, name: str, way: HopWay, address: str, case: HopCase
    ) -> ProcessSpec:
        """Return the command of an entry."""
        return ProcessSpec(
            name=name,
            module="swiftpin.bench.hop.entry",
            arguments=(
                f"--way={way}",
                f"--address={address}",
                f"--rate={case.rate:g}",
                f"--seconds={self._seconds:g}",
                f"--request-bytes={case.request_bytes}",
                f"--answer-bytes={case.answer_bytes}",
            ),
        )


def _order(repeat: int) -> list[HopWay]:
    """Return the ways, the other one first every time."""
    order = [HopWay.HTTP, HopWay.GRPC]
    return order if repeat % 2 == 0 else order[::-1]
