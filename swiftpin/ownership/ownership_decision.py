"""One decision about ownership, for the log."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipDecision:
    """What was decided, for which group, and why.

    `target` and `slices` (a count) are set where the decision is about them.
    """

    event: str
    group: GroupId
    term: int
    reason: str
    target: str | None = None
    slices: int = 0
