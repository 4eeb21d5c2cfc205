"""Choice of the instances that hand out permits."""

from __future__ import annotations

from collections.abc import Collection, Mapping
import math
from typing import Final

from swiftpin.core import callback

TARGETS_AN_ISSUER: Final = 16
"""Targets whose permits one instance hands out. Each permit takes it three messages."""

LEAST_ISSUERS: Final = 3
"""Issuers at least, so that the loss of one leaves most targets' permits untouched."""

STRONG_SHARE: Final = 0.6
"""Part of the strongest instance's strength that counts as strong."""


@callback
def by_strength(strengths_by_incarnation: Mapping[str, float]) -> list[str]:
    """Return the instances, strongest first."""
    return sorted(
        strengths_by_incarnation,
        key=lambda name: (-strengths_by_incarnation[name], name),
    )


@callback
def choose_issuers(
    strengths_by_incarnation: Mapping[str, float],
    *,
    present: Collection[str],
    assigner: str,
    targets: int,
) -> list[str]:
    """Return the instances that hand out permits: present ones first, then strong.

    The instance that assigns keys has work enough where there are many targets.
    """
    ranked = by_strength(strengths_by_incarnation)
    if not ranked:
        return []
    count = max(LEAST_ISSUERS, math.ceil(targets / TARGETS_AN_ISSUER))
    enough = strengths_by_incarnation[ranked[0]] * STRONG_SHARE
    strong = [name for name in ranked if strengths_by_incarnation[name] >= enough]
    if len(strong) > count > LEAST_ISSUERS and assigner in strong:
        strong.remove(assigner)
    if len(strong) >= LEAST_ISSUERS:
        # Fewer strong issuers bear more than many weak ones.
        ranked = strong
    kept = [name for name in ranked if name in present]
    added = [name for name in ranked if name not in present]
    return (kept + added)[:count]
