"""Adds up the results of the load generator's workers."""

from __future__ import annotations

from collections import Counter

from swiftpin.bench.load.class_result import ClassResult
from swiftpin.bench.load.class_tally import ClassTally
from swiftpin.bench.load.latency_histogram import LatencyHistogram
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.spell_summary import MEDIAN, TAIL, summarize_spells
from swiftpin.bench.load.worker_result import WorkerResult


def _merge_spells(parts: list[dict[str, list[float]]]) -> dict[str, list[float]]:
    """Return the spells of all the parts by key."""
    spells_by_key: dict[str, list[float]] = {}
    for part in parts:
        for key, spells in part.items():
            spells_by_key.setdefault(key, []).extend(spells)
    return spells_by_key


def _merge_histograms(encoded: list[str]) -> LatencyHistogram:
    """Return the sum of encoded histograms."""
    histogram = LatencyHistogram()
    for item in encoded:
        histogram.add_encoded(item)
    return histogram


def _merge_class(tallies: list[ClassTally]) -> ClassResult:
    """Return the result of one class."""
    latency = _merge_histograms([item.latency for item in tallies])
    tries: Counter[str] = Counter()
    for item in tallies:
        tries.update(item.tries_by_result)
    return ClassResult(
        scheduled=sum(item.scheduled for item in tallies),
        answered=sum(item.answered for item in tallies),
        refused=sum(item.refused for item in tallies),
        unknown=sum(item.unknown for item in tallies),
        unanswered=sum(item.unanswered for item in tallies),
        tries_by_result=dict(tries),
        p50_ms=latency.percentile_ms(MEDIAN),
        p99_ms=latency.percentile_ms(TAIL),
        max_ms=latency.max_ms(),
        unserved=summarize_spells(
            _merge_spells([item.spells_by_key for item in tallies])
        ),
    )


def merge_results(results: list[WorkerResult]) -> LoadResult:
    """Return the totals of the workers' results; there is at least one."""
    tallies_by_class: dict[str, list[ClassTally]] = {}
    for result in results:
        for name, tally in result.tallies_by_class.items():
            tallies_by_class.setdefault(name, []).append(tally)
    tallies = [item for items in tallies_by_class.values() for item in items]
    latency = _merge_histograms([item.latency for item in tallies])
    send_lag = _merge_histograms([item.send_lag for item in results])
    seconds = max(item.measured_seconds for item in results)
    answered = sum(item.answered for item in tallies)
    return LoadResult(
        measured_seconds=seconds,
        scheduled=sum(item.scheduled for item in tallies),
        answered=answered,
        rate=answered / seconds,
        p50_ms=latency.percentile_ms(MEDIAN),
        p99_ms=latency.percentile_ms(TAIL),
        max_ms=latency.max_ms(),
        send_lag_p99_ms=send_lag.percentile_ms(TAIL),
        busiest_worker=max(item.cpu for item in results) / seconds,
        unserved=summarize_spells(
            _merge_spells([item.spells_by_key for item in results])
        ),
        classes_by_name={
            name: _merge_class(items) for name, items in tallies_by_class.items()
        },
    )
