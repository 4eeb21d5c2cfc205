"""New owners for the slices of lost targets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from swiftpin.ownership.slice_assignment import SliceAssignment


def owners_after_loss(
    slices_by_id: Mapping[int, SliceAssignment],
    lost: frozenset[str],
    live: frozenset[str],
) -> dict[int, str]:
    """Return the new owner of each slice of a lost target.

    The standby takes the slice when it lives, else the live target with the fewest
    slices. Slices of other targets stay where they are. Empty when nothing lives.
    """
    if not live:
        return {}
    counts = Counter(dict.fromkeys(live, 0))
    counts.update(item.target for item in slices_by_id.values() if item.target in live)
    owners_by_slice: dict[int, str] = {}
    for slice_id, item in sorted(slices_by_id.items()):
        if item.target not in lost:
            continue
        if item.standby in live:
            owner = item.standby
        else:
            owner = min(live, key=lambda target: (counts[target], target))
        counts[owner] += 1
        owners_by_slice[slice_id] = owner
    return owners_by_slice
