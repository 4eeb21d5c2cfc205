"""Choice of the standby of a slice."""

from __future__ import annotations

from collections.abc import Iterable

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.placement.hashing import tie_hash


class StandbyChooser:
    """Names standbys for slices, spread evenly over the other targets.

    A standby is in another availability zone than the owner where there is one. The
    slices of one owner get their standbys in turn, so that its loss burdens all
    others alike.
    """

    def __init__(self, targets: Iterable[TargetSpec]) -> None:
        ordered = sorted(targets, key=lambda spec: spec.id)
        self._zone_by_target = {spec.id: spec.zone for spec in ordered}
        self._all = [spec.id for spec in ordered]
        self._others_by_zone = {
            zone: [spec.id for spec in ordered if spec.zone != zone]
            for zone in set(self._zone_by_target.values())
        }
        self._turn_by_owner: dict[str, int] = {}

    def choose(self, owner: str) -> str | None:
        """Return the next standby of the owner, None if it is the only target."""
        candidates = self._candidates(owner)
        if not candidates:
            return None
        turn = self._turn_by_owner.get(owner)
        if turn is None:
            turn = tie_hash("standby", owner) % len(candidates)
        self._turn_by_owner[owner] = turn + 1
        choice = candidates[turn % len(candidates)]
        if choice != owner:
            return choice
        return self.choose(owner)

    def is_fit(self, owner: str, standby: str | None) -> bool:
        """Return whether the standby may stay named for the owner's slices."""
        if standby is None or standby == owner or standby not in self._zone_by_target:
            return not self._candidates(owner)
        zone = self._zone_by_target.get(owner)
        has_other_zone = bool(self._others_by_zone.get(zone or "", self._all))
        return not has_other_zone or self._zone_by_target[standby] != zone

    def _candidates(self, owner: str) -> list[str]:
        """Return the targets that may stand by for the owner."""
        zone = self._zone_by_target.get(owner)
        if zone is None:
            return self._all
        others = self._others_by_zone[zone]
        if others:
            return others
        return self._all if len(self._all) > 1 else []
