"""Counts while the load runs."""

from __future__ import annotations

from collections import Counter
from typing import Final

from swiftpin.bench.load.class_tally import ClassTally
from swiftpin.bench.load.latency_histogram import LatencyHistogram
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.unserved_meter import UnservedMeter
from swiftpin.bench.load.verdict import Verdict
from swiftpin.core import callback

WHOLE_SERVICE: Final = "*"
"""Stands for the key where a service is not divided by key."""


def meter_key(request: LoadRequest) -> str:
    """Return the name under which unserved time of the request's key is kept."""
    return f"{request.load_class.service}/{request.key or WHOLE_SERVICE}"


class ClassRecorder:
    """Counts of one class of load in one worker."""

    def __init__(self, threshold: float) -> None:
        self._latency = LatencyHistogram()
        self._meter = UnservedMeter(threshold=threshold)
        self._tries_by_result: Counter[str] = Counter()
        self._ends_by_verdict: Counter[Verdict] = Counter()
        self._scheduled = 0

    @callback
    def begin(self) -> None:
        """Count a request that became due."""
        self._scheduled += 1

    @callback
    def wait(self, request: LoadRequest, since: float) -> None:
        """Note that the request waits for its key."""
        self._meter.begin(meter_key(request), since)

    @callback
    def tried(self, result: str) -> None:
        """Note the result code, or the error's name, of one try."""
        self._tries_by_result[result] += 1

    @callback
    def end(self, request: LoadRequest, verdict: Verdict, now: float) -> None:
        """Note how a request ended; `RETRY` means that it was left unanswered."""
        self._ends_by_verdict[verdict] += 1
        if verdict is Verdict.ANSWERED:
            self._latency.record(now - request.scheduled)

    @callback
    def end_wait(self, request: LoadRequest, verdict: Verdict, now: float) -> None:
        """Note that the request waits for its key no longer."""
        self._meter.end(
            meter_key(request), now, is_answered=verdict is Verdict.ANSWERED
        )

    def tally(self) -> ClassTally:
        """Return the counts so far."""
        return ClassTally(
            scheduled=self._scheduled,
            answered=self._ends_by_verdict[Verdict.ANSWERED],
            refused=self._ends_by_verdict[Verdict.REFUSED],
            unknown=self._ends_by_verdict[Verdict.UNKNOWN],
            unanswered=self._ends_by_verdict[Verdict.RETRY],
            tries_by_result=dict(self._tries_by_result),
            latency=self._latency.encode(),
            spells_by_key=self._meter.spells_by_key,
        )
