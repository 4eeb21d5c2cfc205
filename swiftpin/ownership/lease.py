"""The lease under which a holder acts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """Group, term and holder, as targets see them.

    `boots_by_target` names the start of each target that counts and may be granted
    slices; None in cooperative groups, where any start may.
    """

    group: GroupId
    term: int
    holder: str
    boots_by_target: Mapping[str, str] | None

    def boot_of(self, target: str) -> str | None:
        """Return the start of a target that the lease names."""
        return (self.boots_by_target or {}).get(target)

    def names(self, target: str, boot_id: str) -> bool:
        """Return whether a start of a target belongs to the lease.

        A restarted target has forgotten whom it follows. Counted at once, it could
        confirm a holder that was deposed long ago.
        """
        if self.boots_by_target is None:
            return True
        return self.boots_by_target.get(target) == boot_id
