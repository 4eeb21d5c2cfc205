"""Counts of the store's calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCalls:
    """Calls the store carried out; lost races are among the writes."""

    reads: int
    writes: int
    watches: int

    @property
    def total(self) -> int:
        """Return all calls; a waiting watch counts as one."""
        return self.reads + self.writes + self.watches

    def since(self, earlier: StoreCalls) -> StoreCalls:
        """Return the calls made after the earlier count."""
        return StoreCalls(
            reads=self.reads - earlier.reads,
            writes=self.writes - earlier.writes,
            watches=self.watches - earlier.watches,
        )
