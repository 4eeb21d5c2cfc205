"""A burst of callers that retry, and what remains of it afterwards."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.experiments.overload_answers import (
    answer_times,
    answers_by_second,
)
from swiftpin.bench.experiments.overload_entries import OverloadEntries
from swiftpin.bench.experiments.overload_result import OverloadBurst
from swiftpin.bench.experiments.overload_site import CAPACITY, LOAD_CLASSES
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_spec import LoadSpec

STEADY_FACTOR: Final = 0.6
BURST_FACTOR: Final = 2.4
CALM: Final = 4.0
"""Seconds of steady load before the burst's callers are started."""
BURST: Final = 3.0
AFTER: Final = 24.0
AFTER_QUICK: Final = 16.0
LAST: Final = 5
"""Seconds at the end of the load that tell whether the burst left harm."""
DRAIN: Final = 4.0
ATTEMPT_TIMEOUT: Final = 1.2
DEADLINE_MS: Final = 1_000
WORKERS: Final = 2


async def async_burst(
    entries: OverloadEntries, *, seed: int, quick: bool
) -> OverloadBurst:
    """Load one contender steadily, add the burst, and count answers a second."""
    after = AFTER_QUICK if quick else AFTER
    duration = CALM + BURST + after
    steady = await entries.driver.async_start(
        _load(
            entries,
            rate=STEADY_FACTOR * CAPACITY,
            duration=duration,
            drain=DRAIN,
            seed=seed,
        )
    )
    await steady.async_sleep_until(CALM)
    burst = await entries.driver.async_start(
        _load(
            entries,
            rate=BURST_FACTOR * CAPACITY,
            duration=BURST,
            drain=after,
            seed=seed + 1,
        )
    )
    burst_result = await burst.async_result()
    steady_result = await steady.async_result()
    times = answer_times([*steady.trace_paths, *burst.trace_paths])
    answers = answers_by_second(times, steady.start)
    end = int(duration)
    last = sum(answers.get(second, 0) for second in range(end - LAST, end)) / LAST
    classes = [
        item
        for result in (burst_result, steady_result)
        for item in result.classes_by_name.values()
    ]
    return OverloadBurst(
        contender=entries.contender,
        steady_rate=STEADY_FACTOR * CAPACITY,
        burst_rate=BURST_FACTOR * CAPACITY,
        burst_from=burst.start - steady.start,
        burst_until=burst.end - steady.start,
        answers_by_second=[answers.get(second, 0) for second in range(end)],
        goodput_after=last,
        goodput_after_share=last / (STEADY_FACTOR * CAPACITY),
        unanswered=sum(item.unanswered for item in classes),
        longest_answer_ms=max(item.max_ms for item in classes),
    )


def _load(
    entries: OverloadEntries,
    *,
    rate: float,
    duration: float,
    drain: float,
    seed: int,
) -> LoadSpec:
    """Return a load of callers that send again until they are answered."""
    return LoadSpec(
        entries=entries.addresses,
        classes=LOAD_CLASSES,
        mode=OpenLoop(rate=rate),
        duration=duration,
        warmup=0.0,
        workers=WORKERS,
        zipf_exponent=0.0,
        seed=seed,
        attempt_timeout=ATTEMPT_TIMEOUT,
        request_timeout_ms=DEADLINE_MS,
        drain=drain,
        traced=True,
    )
