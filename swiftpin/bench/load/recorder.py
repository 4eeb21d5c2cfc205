"""Counts of all classes of one worker."""

from __future__ import annotations

from swiftpin.bench.load.class_recorder import ClassRecorder, meter_key
from swiftpin.bench.load.latency_histogram import LatencyHistogram
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.unserved_meter import UnservedMeter
from swiftpin.bench.load.verdict import Verdict
from swiftpin.bench.load.worker_result import WorkerResult
from swiftpin.core import callback


class Recorder:
    """Counts the requests that are due from `measure_from` on."""

    def __init__(self, load: LoadSpec, measure_from: float) -> None:
        self._load = load
        self._measure_from = measure_from
        self._send_lag = LatencyHistogram()
        self._meter = UnservedMeter(threshold=load.unserved_threshold)
        self._classes_by_name = {
            item.name: ClassRecorder(load.unserved_threshold) for item in load.classes
        }

    def _is_measured(self, request: LoadRequest) -> bool:
        """Return whether the request is past the warm-up."""
        return request.scheduled >= self._measure_from

    @callback
    def begin(self, request: LoadRequest, now: float) -> None:
        """Note a request that became due and is sent at `now`."""
        if self._is_measured(request):
            self._send_lag.record(now - request.scheduled)
            self._classes_by_name[request.load_class.name].begin()

    @callback
    def wait(self, request: LoadRequest, since: float) -> None:
        """Note that the request waits for its key at an entry that works.

        A request stuck at an entry that was lost says nothing about its key.
        """
        if self._is_measured(request):
            self._meter.begin(meter_key(request), since)
            self._classes_by_name[request.load_class.name].wait(request, since)

    @callback
    def tried(self, request: LoadRequest, result: str) -> None:
        """Note the result of one try."""
        if self._is_measured(request):
            self._classes_by_name[request.load_class.name].tried(result)

    @callback
    def end(
        self, request: LoadRequest, verdict: Verdict, now: float, *, waited: bool
    ) -> None:
        """Note how a request ended; `waited` tells whether `wait` was called."""
        if not self._is_measured(request):
            return
        recorder = self._classes_by_name[request.load_class.name]
        recorder.end(request, verdict, now)
        if waited:
            self._meter.end(
                meter_key(request), now, is_answered=verdict is Verdict.ANSWERED
            )
            recorder.end_wait(request, verdict, now)

    def result(self, *, index: int, started: float, cpu: float) -> WorkerResult:
        """Return everything that was counted."""
        tallies_by_class = {
            name: item.tally() for name, item in self._classes_by_name.items()
        }
        return WorkerResult(
            index=index,
            started=started,
            measured_seconds=self._load.duration - self._load.warmup,
            cpu=cpu,
            send_lag=self._send_lag.encode(),
            tallies_by_class=tallies_by_class,
            spells_by_key=self._meter.spells_by_key,
        )
