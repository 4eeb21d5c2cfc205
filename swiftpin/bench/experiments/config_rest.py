"""Control cost of instances at rest."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from statistics import mean
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.processes.usage_window import UsageMeter
from swiftpin.core import monotonic_now

MEGABYTE: Final = 1_000_000
PERCENT: Final = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class RestCost:
    """Cost of an instance, mean and worst; store calls are the whole cluster's.

    `cpu_percent` is of one core, `resident_mb` in MB of 10^6 bytes, `sent_bytes` what
    an instance writes to sockets in a second, HTTP and gRPC framing included.
    """

    seconds: float
    cpu_percent: float
    cpu_percent_max: float
    resident_mb: float
    resident_mb_max: float
    sent_bytes: float
    sent_bytes_max: float
    store_calls: float
    store_watches: float
    store_writes: float


async def async_rest_cost(cluster: Cluster, seconds: float) -> RestCost:
    """Return the costs over the next seconds."""
    before = await cluster.platform.async_store_calls()
    started_at = monotonic_now()
    meters = [UsageMeter(process, monotonic_now()) for process in cluster.gateways]
    await asyncio.sleep(seconds)
    windows = [meter.window(monotonic_now()) for meter in meters]
    calls = (await cluster.platform.async_store_calls()).since(before)
    elapsed = monotonic_now() - started_at
    cpu = [PERCENT * window.cores for window in windows]
    resident = [window.resident / MEGABYTE for window in windows]
    sent = [window.written_rate for window in windows]
    return RestCost(
        seconds=elapsed,
        cpu_percent=mean(cpu),
        cpu_percent_max=max(cpu),
        resident_mb=mean(resident),
        resident_mb_max=max(resident),
        sent_bytes=mean(sent),
        sent_bytes_max=max(sent),
        store_calls=calls.total / elapsed,
        store_watches=calls.watches / elapsed,
        store_writes=calls.writes / elapsed,
    )
