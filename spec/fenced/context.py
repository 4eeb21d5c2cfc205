"""What stays the same throughout one model."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from spec.fenced.holder import Holder
from spec.fenced.lease_kind import LeaseKind
from spec.fenced.scope import Scope
from spec.fenced.target import Target
from spec.fenced.weakness import Weakness
from spec.fenced.world import World


@dataclass(frozen=True, kw_only=True)
class Context:
    """Scope and weakness, with the questions that depend on them."""

    scope: Scope
    weakness: Weakness

    @cached_property
    def keeps_ended(self) -> bool:
        """Return whether a holder without its targets may still act."""
        weakness = self.weakness
        return (
            weakness.no_recheck
            or weakness.no_term_check
            or weakness.counted_at_once
            or weakness.counted_by_read
        )

    @cached_property
    def renewed(self) -> frozenset[int]:
        """Return the leases whose holders may begin their own next one."""
        return frozenset(
            lease - 1
            for lease, kind in enumerate(self.scope.leases)
            if kind is LeaseKind.RENEWED
        )

    def knows(self, world: World, holder: Holder, target: int) -> bool:
        """Return whether the target runs under the start that the lease names.

        `counted`: only such a target is fenced for the rules, granted and counted. A
        start that a lease does not name may have forgotten the fence of a later lease.
        """
        if target != self.scope.restarts or world.boot == holder.boot:
            return True
        return self.weakness.counted_at_once or self.weakness.counted_by_read

    def counts(self, world: World, lease: int, holder: Holder, target: int) -> bool:
        """Return whether the target's acknowledgement confirms the holder."""
        if not self.weakness.counted_by_read:
            return self.knows(world, holder, target)
        if target != self.scope.restarts or world.boot == holder.boot:
            return True
        reserved = self.scope.leases[lease] is LeaseKind.RESERVED
        return world.record.lease == (0 if reserved else lease)

    def follows(self, world: World, lease: int, target: int) -> bool:
        """Return whether the target goes on to acknowledge the lease."""
        if world.targets[target].fence != lease:
            return False
        return self.counts(world, lease, world.holders[lease], target)

    def obeys(self, target: Target, lease: int) -> bool:
        """Return whether the target carries out grants of the lease."""
        return target.fence == lease or self.weakness.no_term_check
