"""Which target serves which key, as the instances route by it."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from swiftpin.keyranges.const import KEYS


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerChange:
    """Keys `first` to `last`, both included, have another owner; empty for none."""

    first: int
    last: int
    owner: str


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

    def changes_since(self, before: KeyMap) -> list[OwnerChange]:
        """Return the ranges whose owner differs from an earlier map."""
        changes: list[OwnerChange] = []
        bounds = sorted({*self.firsts, *before.firsts})
        for first, end in zip(bounds, [*bounds[1:], KEYS], strict=True):
            owner = self.owner_of(first)
            if owner != before.owner_of(first):
                changes.append(OwnerChange(first=first, last=end - 1, owner=owner))
        return changes

    def with_changes(self, changes: Iterable[OwnerChange]) -> KeyMap:
        """Return the next map, in which some ranges have other owners."""
        owners_by_first = dict(zip(self.firsts, self.owners, strict=True))
        for change in changes:
            after = change.last + 1
            if after < KEYS and after not in owners_by_first:
                owners_by_first[after] = _owner_at(owners_by_first, after)
            for first in [
                known
                for known in owners_by_first
                if change.first <= known <= change.last
            ]:
                del owners_by_first[first]
            owners_by_first[change.first] = change.owner
        firsts = sorted(owners_by_first)
        return KeyMap(
            service=self.service,
            term=self.term,
            number=self.number + 1,
            firsts=tuple(firsts),
            owners=tuple(owners_by_first[first] for first in firsts),
        )

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


def _owner_at(owners_by_first: dict[int, str], key: int) -> str:
    """Return the owner of the range that holds a key."""
    return owners_by_first[max(first for first in owners_by_first if first <= key)]
