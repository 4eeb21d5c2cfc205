"""Times from accepted changes to their being in force."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_adoption import Adoption
from swiftpin.bench.load.spell_summary import MEDIAN, percentile


@dataclass(frozen=True, kw_only=True, slots=True)
class InForceTimes:
    """Seconds from when the operator knew that a change was accepted.

    `instance_p50` and `instance_max` are over every change and instance,
    `everywhere_p50` and `everywhere_max` over changes until the last instance had it.
    A change that an instance had in force earlier than the operator's answer counts
    as 0. `from_write_max` counts from before the write instead. `missing` are pairs
    of change and instance that never came; they are in no other figure.
    """

    changes: int
    instances: int
    instance_p50: float
    instance_max: float
    everywhere_p50: float
    everywhere_max: float
    from_write_max: float
    missing: int


def in_force_times(
    changes: Sequence[AcceptedChange],
    adoptions_by_instance: Mapping[str, Sequence[Adoption]],
) -> InForceTimes:
    """Return the times of the changes over the instances."""
    delays: list[float] = []
    last_delays: list[float] = []
    from_write: list[float] = []
    missing = 0
    for change in changes:
        times = [in_force_at(change, items) for items in adoptions_by_instance.values()]
        known = [at for at in times if at is not None]
        missing += len(times) - len(known)
        own = [max(0.0, at - change.accepted_at) for at in known]
        delays += own
        last_delays.append(max(own, default=0.0))
        from_write += [at - change.began_at for at in known]
    return InForceTimes(
        changes=len(changes),
        instances=len(adoptions_by_instance),
        instance_p50=percentile(delays, MEDIAN),
        instance_max=max(delays, default=0.0),
        everywhere_p50=percentile(last_delays, MEDIAN),
        everywhere_max=max(last_delays, default=0.0),
        from_write_max=max(from_write, default=0.0),
        missing=missing,
    )


def in_force_at(change: AcceptedChange, adoptions: Sequence[Adoption]) -> float | None:
    """Return when an instance first had the generation or a newer one in force."""
    for item in adoptions:
        if item.label == change.label and item.generation >= change.generation:
            return item.at
    return None
