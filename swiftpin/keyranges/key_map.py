"""Which target serves which key, as the instances route by it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMap:
    """Owners of a service's keys; newer maps have a higher (`term`, `number`)."""

    service: str
    term: int
    number: int
    firsts: tuple[int, ...]
    """First key of each range, in order, beginning with 0."""

    owners: tuple[str, ...]
    """Owner of each range; empty while the range is on the move."""

    def owner_of(self, key: int) -> str:
        """Return the target that serves a key, empty when none does now."""
        return self.owners[bisect_right(self.firsts, key) - 1]

    def range_of(self, key: int) -> tuple[int, str]:
        """Return the first key of a key's range, and its owner."""
        index = bisect_right(self.firsts, key) - 1
        return self.firsts[index], self.owners[index]

    def is_newer_than(self, other: KeyMap | None) -> bool:
        """Return whether this map replaces another one."""
        if other is None:
            return True
        return (self.term, self.number) > (other.term, other.number)
