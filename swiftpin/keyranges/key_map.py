"""Map from keys to the targets that serve them, used to route requests."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from swiftpin.keyranges.const import KEY_COUNT


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerChange:
    """New owner of the keys `first` to `last`, inclusive; empty if there is none."""

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
    """Owner of each range; empty while no target may serve it."""

    factors_by_target: Mapping[str, float] = field(default_factory=dict)
    """Mean request time of the targets whose speed is known, in multiples of the
    service's. A change of owners doesn't alter them."""

    def changes_since(self, previous: KeyMap) -> list[OwnerChange]:
        """Return the ranges whose owner differs from that in an earlier map."""
        changes: list[OwnerChange] = []
        bounds = sorted({*self.firsts, *previous.firsts})
        for first, end in zip(bounds, [*bounds[1:], KEY_COUNT], strict=True):
            owner = self.owner_of(first)
            if owner != previous.owner_of(first):
                changes.append(OwnerChange(first=first, last=end - 1, owner=owner))
        return changes

    def with_changes(self, changes: Iterable[OwnerChange]) -> KeyMap:
        """Return the next map, with new owners for some ranges."""
        firsts = list(self.firsts)
        owners = list(self.owners)
        for change in changes:
            next_key = change.last + 1
            low = bisect_left(firsts, change.first)
            high = bisect_left(firsts, next_key)
            new_firsts = [change.first]
            new_owners = [change.owner]
            if next_key < KEY_COUNT and (
                high == len(firsts) or firsts[high] != next_key
            ):
                new_firsts.append(next_key)
                new_owners.append(owners[high - 1])
            firsts[low:high] = new_firsts
            owners[low:high] = new_owners
        return KeyMap(
            service=self.service,
            term=self.term,
            number=self.number + 1,
            firsts=tuple(firsts),
            owners=tuple(owners),
            factors_by_target=self.factors_by_target,
        )

    def owner_of(self, key: int) -> str:
        """Return the target that serves a key; empty if none does."""
        return self.owners[bisect_right(self.firsts, key) - 1]

    def range_of(self, key: int) -> tuple[int, str]:
        """Return the first key and the owner of the range that contains a key."""
        index = bisect_right(self.firsts, key) - 1
        return self.firsts[index], self.owners[index]

    def is_newer_than(self, other: KeyMap | None) -> bool:
        """Return whether this map replaces another one."""
        if other is None:
            return True
        return (self.term, self.number) > (other.term, other.number)
