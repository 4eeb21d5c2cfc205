"""Overlapping owners in the events that targets reported."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import math

from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.trace_event import TraceEvent


def overlaps(
    trace: Iterable[TraceEvent], killed_at_by_target: Mapping[str, float]
) -> list[str]:
    """Return a line for each slice that two targets held at one time."""
    events = sorted(
        (item for item in trace if isinstance(item, OwnedEvent | ReleasedEvent)),
        key=lambda item: (item.at, isinstance(item, OwnedEvent)),
    )
    owner_by_slice: dict[int, str] = {}
    found: list[str] = []
    for event in events:
        match event:
            case OwnedEvent():
                for item in event.slices:
                    owner = owner_by_slice.get(item.slice_id, event.target)
                    killed_at = killed_at_by_target.get(owner, math.inf)
                    if owner != event.target and killed_at > event.at:
                        found.append(f"slice {item.slice_id}: {owner}, {event.target}")
                    owner_by_slice[item.slice_id] = event.target
            case ReleasedEvent():
                for slice_id in event.slices:
                    if owner_by_slice.get(slice_id) == event.target:
                        del owner_by_slice[slice_id]
    return found
