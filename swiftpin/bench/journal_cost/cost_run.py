"""Load on one way of recording."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
import time
from typing import Final

from swiftpin.bench.journal_cost.cost_point import CostPoint
from swiftpin.bench.journal_cost.jittered_store import JitteredStore
from swiftpin.bench.journal_cost.recording import Recording
from swiftpin.bench.load.arrivals import arrival_times
from swiftpin.bench.load.latency_histogram import LatencyHistogram
from swiftpin.core import monotonic_now
from swiftpin.dispatch.answered import Answered

BODY: Final = b'{"order": 4711, "state": "booked"}'
WARM_UP: Final = 200
"""Bookings before the measured ones."""
ANSWER: Final = Answered(
    status=201,
    headers=(("Content-Type", "application/json"),),
    body=BODY,
    body_digest="0" * 32,
    body_length=len(BODY),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class CostRun:
    """One way at one rate; `duration` in seconds, `work` in seconds at the target."""

    way: str
    recording: Recording
    store: JitteredStore
    rate: float
    duration: float
    work: float
    seed: int

    async def async_run(self) -> CostPoint:
        """Send bookings on a fixed schedule and return the figures."""
        await self.recording.async_open()
        await asyncio.gather(*(self._async_warm_up(n) for n in range(WARM_UP)))
        begin, added = LatencyHistogram(), LatencyHistogram()
        writes, sent = self.store.writes, self.store.bytes_written
        cpu, started = time.process_time(), monotonic_now()
        tasks = []
        arrivals = arrival_times(
            rate=self.rate,
            start=started,
            duration=self.duration,
            random=Random(self.seed),
        )
        for number, at in enumerate(arrivals):
            await asyncio.sleep(max(at - monotonic_now(), 0.0))
            key = f"{self.way}-{self.rate:g}-{number}"
            tasks.append(asyncio.create_task(self._async_book(key, at, begin, added)))
        accepted = await asyncio.gather(*tasks)
        elapsed = monotonic_now() - started
        cpu = time.process_time() - cpu
        await self.recording.async_close()
        return CostPoint(
            way=self.way,
            rate=self.rate,
            bookings=len(accepted),
            refused=accepted.count(False),
            begin_p50_ms=begin.percentile_ms(50),
            begin_p99_ms=begin.percentile_ms(99),
            added_p50_ms=added.percentile_ms(50),
            added_p99_ms=added.percentile_ms(99),
            writes_per_second=(self.store.writes - writes) / elapsed,
            kilobytes_per_second=(self.store.bytes_written - sent) / elapsed / 1000,
            cpu_us=cpu / max(len(accepted), 1) * 1_000_000,
        )

    async def _async_warm_up(self, number: int) -> None:
        """Record a booking that is not measured, so that the pages are not empty."""
        key = f"{self.way}-{self.rate:g}-warm-{number}"
        if await self.recording.async_begin(key):
            await self.recording.async_finish(key, ANSWER)

    async def _async_book(
        self, key: str, at: float, begin: LatencyHistogram, added: LatencyHistogram
    ) -> bool:
        """Record, wait as long as the target works, and record the outcome."""
        if not await self.recording.async_begin(key):
            return False
        # Counted from the scheduled arrival: a late start is the recording's cost too.
        recorded = monotonic_now()
        begin.record(recorded - at)
        await asyncio.sleep(self.work)
        answered = monotonic_now()
        await self.recording.async_finish(key, ANSWER)
        added.record(recorded - at + monotonic_now() - answered)
        return True
