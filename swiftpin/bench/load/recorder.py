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
        if not self._is_measured(request):
            return
        self._send_lag.record(now - request.scheduled)
        self._meter.begin(meter_key(request), request.scheduled)
        self._classes_by_name[request.load_class.name].begin(request)

    @callback
    def tried(self, request: LoadRequest, result: str) -> None:
        """Note the result of one try."""
        if self._is_measured(request):
            self._classes_by_name[request.load_class.name].tried(result)

    @callback
    def end(self, request: LoadRequest, verdict: Verdict, now: float) -> None:
        """Note how a request ended."""
        if not self._is_measured(request):
            return
        self._classes_by_name[request.load_class.name].end(request, verdict, now)
        if verdict is Verdict.ANSWERED:
            self._meter.answered(meter_key(request), now)
        else:
            self._meter.abandoned(meter_key(request), now)

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
