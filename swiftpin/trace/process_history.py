"""When processes were killed and frozen."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from swiftpin.trace.supervisor_event import SupervisorEvent


class ProcessHistory:
    """A supervisor's events by the name of the process."""

    def __init__(self, events: Iterable[SupervisorEvent]) -> None:
        self._events_by_name: dict[str, list[SupervisorEvent]] = {}
        self._killed_at: list[float] = []
        for event in sorted(events, key=lambda event: event.at):
            self._events_by_name.setdefault(event.name, []).append(event)
            if event.kind == "killed":
                self._killed_at.append(event.at)

    def end_after(self, name: str, since: float) -> float | None:
        """Return when the process last ran, if it was killed or frozen for good.

        A process that is killed while frozen last ran when it was frozen.
        """
        frozen_at: float | None = None
        for event in self._events_by_name.get(name, []):
            if event.kind == "frozen":
                frozen_at = event.at
                continue
            if event.kind == "killed" and event.at >= since:
                return event.at if frozen_at is None else frozen_at
            frozen_at = None
        return frozen_at

    def was_frozen_within(self, name: str, start: float, end: float) -> bool:
        """Return whether the process stood still at some time in between."""
        frozen_at: float | None = None
        for event in self._events_by_name.get(name, []):
            if event.kind == "frozen":
                frozen_at = event.at
            elif frozen_at is not None:
                if frozen_at <= end and event.at >= start:
                    return True
                frozen_at = None
        return frozen_at is not None and frozen_at <= end

    def was_any_killed_within(self, start: float, end: float) -> bool:
        """Return whether any process was killed in between."""
        later = bisect_right(self._killed_at, end)
        return later > 0 and self._killed_at[later - 1] >= start
