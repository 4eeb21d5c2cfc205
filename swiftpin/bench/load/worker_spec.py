"""What one worker process of the load generator is to do."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.load_spec import LoadSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerSpec:
    """The share `index` of the load.

    The worker writes `ready_path` once it could start, waits for `start_path`, which
    holds the monotonic start time, and writes its `WorkerResult` to `result_path`.
    """

    index: int
    load: LoadSpec
    ready_path: str
    start_path: str
    result_path: str
    trace_path: str | None = None
