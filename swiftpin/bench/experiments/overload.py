"""Answers in time at many times the targets' capacity, and after a burst."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.overload_answers import (
    answer_times,
    answers_between,
)
from swiftpin.bench.experiments.overload_burst import async_burst
from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.bench.experiments.overload_entries import (
    OverloadEntries,
    async_open_entries,
)
from swiftpin.bench.experiments.overload_result import (
    OverloadBurst,
    OverloadPoint,
    OverloadResult,
    reached_goals,
)
from swiftpin.bench.experiments.overload_site import (
    CAPACITY,
    GATEWAYS,
    LOAD_CLASSES,
    SHARE_BOOKING,
    SLOTS,
    TARGETS,
    WORK_MS,
)
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.processes.usage_window import UsageMeter
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now

FACTORS: Final = (0.5, 1.0, 2.0, 5.0, 10.0)
WORKERS: Final = 4
WARMUP: Final = 2.0
MEASURE: Final = 5.0
MEASURE_QUICK: Final = 3.0
DEADLINE_MS: Final = 1_000
ATTEMPT_TIMEOUT: Final = 1.2
"""Seconds after which a caller gives up: the deadline and the way there and back."""
DRAIN: Final = 2.0
KEYS: Final = 2_000


async def _async_point(
    entries: OverloadEntries, factor: float, *, seed: int, measure: float
) -> OverloadPoint:
    """Load one contender with single tries of requests."""
    load = LoadSpec(
        entries=entries.addresses,
        classes=LOAD_CLASSES,
        mode=OpenLoop(rate=factor * CAPACITY),
        duration=WARMUP + measure,
        warmup=WARMUP,
        workers=WORKERS,
        keys=KEYS,
        zipf_exponent=0.0,
        seed=seed,
        attempt_timeout=ATTEMPT_TIMEOUT,
        request_timeout_ms=DEADLINE_MS,
        max_tries=1,
        drain=DRAIN,
        traced=True,
    )
    run = await entries.driver.async_start(load)
    await run.async_sleep_until(WARMUP)
    meters = [UsageMeter(item, monotonic_now()) for item in entries.processes]
    await run.async_sleep_until(WARMUP + measure)
    now = monotonic_now()
    busiest = max(meter.window(now).cores for meter in meters)
    result = await run.async_result()
    times = answer_times(run.trace_paths)
    goodput = answers_between(times, run.measure_from, run.end) / measure
    return OverloadPoint(
        contender=entries.contender,
        factor=factor,
        goodput=goodput,
        goodput_share=goodput / CAPACITY,
        busiest_entry=busiest,
        load=result,
    )


async def async_overload(
    options: ExperimentOptions, progress: Progress
) -> OverloadResult:
    """Load the contenders one after another, each with targets of its own."""
    points: list[OverloadPoint] = []
    bursts: list[OverloadBurst] = []
    measure = MEASURE_QUICK if options.quick else MEASURE
    for contender in OverloadContender:
        directory = options.directory / contender.value
        progress.show(f"starting {contender}")
        async with async_open_entries(contender, directory) as entries:
            for number, factor in enumerate(FACTORS):
                progress.show(f"{contender} at {factor:g} times the capacity")
                seed = options.seed + number
                points.append(
                    await _async_point(entries, factor, seed=seed, measure=measure)
                )
            progress.show(f"{contender} in a burst")
            seed = options.seed + len(FACTORS)
            bursts.append(await async_burst(entries, seed=seed, quick=options.quick))
    return OverloadResult(
        capacity=CAPACITY,
        targets=TARGETS,
        slots=SLOTS,
        work_ms=WORK_MS,
        gateways=GATEWAYS,
        deadline_ms=DEADLINE_MS,
        goals=reached_goals(points, booking_share=SHARE_BOOKING),
        points=points,
        bursts=bursts,
    )


OVERLOAD: Final = Experiment(
    name="overload",
    summary="answers in time beyond the targets' capacity, against two baselines",
    async_run=async_overload,
)
