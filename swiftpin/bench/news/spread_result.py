"""How fast and at which cost changes reach every instance."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from swiftpin.bench.news.rest_result import RestResult
from swiftpin.bench.news.usage_count import UsageCount


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadResult:
    """Times in seconds from the write until a share of the instances knew it.

    Costs are for one change beyond those at rest: bytes an instance, store calls of
    the fleet, `cpu_per_change` seconds of the whole process. `missed` counts changes
    that had not reached all within the limit.
    """

    kind: str
    body_bytes: int
    changes: int
    missed: int
    reached_90_median: float
    reached_all_median: float
    reached_all_max: float
    wire_bytes_per_change: float
    cpu_per_change: float
    store_calls_per_change: float
    duplicates_per_change: float
    repaired_per_change: float

    @classmethod
    def of(
        cls,
        *,
        kind: str,
        body_bytes: int,
        times: list[list[float | None]],
        limit: float,
        counts: tuple[UsageCount, UsageCount],
        rest: RestResult,
        size: int,
    ) -> SpreadResult:
        """Return the result of several changes.

        `times` has, for each change, how long it took to each instance, None where
        it was not known within the limit.
        """
        limited = [[limit if t is None else t for t in item] for item in times]
        first, last = counts
        changes = len(times)
        seconds = last.at - first.at
        wire = (last.wire_bytes - first.wire_bytes) / size
        cpu = last.cpu - first.cpu
        calls = last.store_calls - first.store_calls
        return cls(
            kind=kind,
            body_bytes=body_bytes,
            changes=changes,
            missed=sum(None in item for item in times),
            reached_90_median=median(sorted(i)[int(0.9 * len(i))] for i in limited),
            reached_all_median=median(max(item) for item in limited),
            reached_all_max=max(max(item) for item in limited),
            wire_bytes_per_change=(wire - seconds * rest.wire_bytes_per_second)
            / changes,
            cpu_per_change=(cpu - seconds * rest.cpu_share * size) / changes,
            store_calls_per_change=(calls - seconds * rest.store_calls_per_second)
            / changes,
            duplicates_per_change=(last.duplicates - first.duplicates) / changes,
            repaired_per_change=(last.repaired - first.repaired) / changes,
        )
