"""Choice of the instances that hand out permits."""

from __future__ import annotations

from collections.abc import Collection, Mapping
import math
from typing import Final

from swiftpin.core import callback

TARGETS_PER_ISSUER: Final = 16
"""Targets whose permits one instance hands out. Each permit takes it three messages."""

MIN_ISSUERS: Final = 3
"""Issuers at least, so that the loss of one leaves most targets' permits untouched."""

MIN_CPU_CAPACITY_SHARE: Final = 0.6
"""Part of the strongest instance's strength that counts as strong."""


@callback
def rank_by_cpu_capacity(cpu_capacity_by_incarnation: Mapping[str, float]) -> list[str]:
    """Return the instances, strongest first."""
    return sorted(
        cpu_capacity_by_incarnation,
        key=lambda name: (-cpu_capacity_by_incarnation[name], name),
    )


@callback
def choose_issuers(
    cpu_capacity_by_incarnation: Mapping[str, float],
    *,
    current: Collection[str],
    assigner: str,
    target_count: int,
) -> list[str]:
    """Return the instances that hand out permits: present ones first, then strong.

    The instance that assigns keys has work enough where there are many targets.
    """
    ranked = rank_by_cpu_capacity(cpu_capacity_by_incarnation)
    if not ranked:
        return []
    count = max(MIN_ISSUERS, math.ceil(target_count / TARGETS_PER_ISSUER))
    enough = cpu_capacity_by_incarnation[ranked[0]] * MIN_CPU_CAPACITY_SHARE
    strong = [name for name in ranked if cpu_capacity_by_incarnation[name] >= enough]
    if len(strong) > count > MIN_ISSUERS and assigner in strong:
        strong.remove(assigner)
    if len(strong) >= MIN_ISSUERS:
        # Fewer strong issuers bear more than many weak ones.
        ranked = strong
    kept = [name for name in ranked if name in current]
    added = [name for name in ranked if name not in current]
    return (kept + added)[:count]
