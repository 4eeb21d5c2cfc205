"""A service as the rest of swiftpin sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.config.target_spec import TargetSpec
from swiftpin.const import DEFAULT_GROUPS, DEFAULT_SLICES


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A named service and its targets.

    `keyed` services have one owner a key; others are served by any target.
    `checks_grants` tells whether its targets refuse orders of an older term.
    """

    name: str
    profile: str
    keyed: bool
    slices: int = DEFAULT_SLICES
    groups: int = DEFAULT_GROUPS
    checks_grants: bool = True
    targets_by_id: dict[str, TargetSpec] = field(default_factory=dict)
