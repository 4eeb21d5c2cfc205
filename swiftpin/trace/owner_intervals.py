"""Ownership of slices as the targets recorded it."""

from __future__ import annotations

from math import inf

from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.owner_interval import OwnerInterval
from swiftpin.trace.trace_index import TraceIndex

_Slice = tuple[str, int]
_OpenKey = tuple[str, str, str, int]


class OwnerIntervals:
    """Intervals by service and slice, each list in the order of their start."""

    def __init__(self, index: TraceIndex) -> None:
        self._index = index
        self._opened_at: dict[_OpenKey, float] = {}
        self.intervals_by_slice: dict[_Slice, list[OwnerInterval]] = {}
        for event in index.ownership:
            if isinstance(event, OwnedEvent):
                for item in event.slices:
                    key = (event.target, event.boot_id, event.service, item.slice_id)
                    self._opened_at.setdefault(key, event.at)
                continue
            for slice_id in event.slices:
                key = (event.target, event.boot_id, event.service, slice_id)
                self._close(key, event.at)
        self._close_rest()
        for intervals in self.intervals_by_slice.values():
            intervals.sort(key=lambda interval: interval.start)

    def _close(self, key: _OpenKey, end: float) -> None:
        """End an open interval; a release of what was never owned is left out."""
        start = self._opened_at.pop(key, None)
        if start is None:
            return
        target, boot_id, service, slice_id = key
        interval = OwnerInterval(
            service=service,
            slice_id=slice_id,
            target=target,
            boot_id=boot_id,
            start=start,
            end=max(start, end),
        )
        self.intervals_by_slice.setdefault((service, slice_id), []).append(interval)

    def _close_rest(self) -> None:
        """End what was not released: at its target's death, or never."""
        for key, start in list(self._opened_at.items()):
            self._close(key, self._end_of(key[0], key[1], start))

    def _end_of(self, target: str, boot_id: str, start: float) -> float:
        """Return until when a target may have used what it did not release.

        A target that died without a supervisor's notice shows by its next boot; it
        then ran at least until its last event.
        """
        end = self._index.processes.end_after(target, start)
        if end is not None:
            return end
        last_seen = self._index.last_seen_by_boot[(target, boot_id)]
        for (name, other_boot), seen in self._index.last_seen_by_boot.items():
            if name == target and other_boot != boot_id and seen > last_seen:
                return last_seen
        return inf
