"""Selection of the permit issuers."""

from __future__ import annotations

from collections.abc import Collection, Mapping
import math
from typing import Final

from swiftpin.core import callback

TARGETS_PER_ISSUER: Final = 16
"""Targets per permit issuer. Each permit costs its issuer three messages."""

MIN_ISSUERS: Final = 3
"""Minimum number of issuers: the loss of one leaves most targets' permits intact."""

MIN_CPU_CAPACITY_SHARE: Final = 0.6
"""Share of the largest instance's CPU capacity that an issuer should have."""


@callback
def rank_by_cpu_capacity(cpu_capacity_by_incarnation: Mapping[str, float]) -> list[str]:
    """Return the instances by descending CPU capacity."""
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
    """Return the permit issuers: current ones first, then by CPU capacity.

    The assigner is left out where many issuers are needed and enough others are strong,
    because it also renews the grants of all targets.
    """
    ranked = rank_by_cpu_capacity(cpu_capacity_by_incarnation)
    if not ranked:
        return []
    count = max(MIN_ISSUERS, math.ceil(target_count / TARGETS_PER_ISSUER))
    min_cpu_capacity = cpu_capacity_by_incarnation[ranked[0]] * MIN_CPU_CAPACITY_SHARE
    strong = [
        name for name in ranked if cpu_capacity_by_incarnation[name] >= min_cpu_capacity
    ]
    if len(strong) > count > MIN_ISSUERS and assigner in strong:
        strong.remove(assigner)
    if len(strong) >= MIN_ISSUERS:
        # A few strong issuers can handle more than many weak ones.
        ranked = strong
    kept = [name for name in ranked if name in current]
    added = [name for name in ranked if name not in current]
    return (kept + added)[:count]
