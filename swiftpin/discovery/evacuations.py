"""Availability zones whose targets are to get no requests."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
import math
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.model.store_revision import era_of
from swiftpin.platform.platform_object import PlatformObject

EVACUATION_LAG: Final = 1.8
"""Seconds from an evacuation's acceptance until this instance knows of it, at most,
with a margin for requests that are on their way."""


class Evacuations:
    """Evacuated zones, from the store or from a neighbour.

    What was learnt at a revision of the store is never undone by older updates.
    """

    def __init__(self, bound: float | None) -> None:
        self.since_by_zone: dict[str, float] = {}
        """When each evacuation became known, to whichever instance was first."""

        self.ended_at_by_zone: dict[str, float] = {}
        """When targets of a zone were last allowed requests again."""

        self.version = 0
        """Revision of the store up to which evacuations are known."""

        self.changed_version = 0
        """The version at which an evacuation began or ended last."""

        self.on_change: Callable[[], None] = _ignore
        self._bound = bound
        self._unconfirmed_until_by_zone: dict[str, float] = {}
        """Evacuations that a restored store does not list, by when it would again."""

    @callback
    def set_limit(self, bound: float | None) -> None:
        """Set how long after its acceptance an evacuation may take, in seconds."""
        self._bound = bound

    @property
    def is_known(self) -> bool:
        """Return whether the evacuations have been told, where there may be any."""
        return self._bound is None or self.version > 0

    @callback
    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone's targets are to get nothing new."""
        return zone in self.since_by_zone

    @callback
    def may_send(self, zone: str, now: float) -> bool:
        """Return whether the targets of a zone may still get requests.

        Keys of an evacuated zone are served by their owners until they have moved.
        """
        since = self.since_by_zone.get(zone)
        if since is None or self._bound is None:
            return True
        return now - since < self._bound - EVACUATION_LAG

    # Updates.

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take all evacuations as they were at a revision."""
        if revision < self.version:
            return
        listed = {found.name for found in objects if _is_present(found)}
        ended = self._ended(listed, revision, now)
        self.version = revision
        self._change(listed, ended, now)

    @callback
    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Take the changes that a watch brought, up to a revision."""
        if revision < self.version:
            return
        is_present_by_zone = {found.name: _is_present(found) for found in objects}
        self.version = revision
        self._change(
            {zone for zone, present in is_present_by_zone.items() if present},
            {zone for zone, present in is_present_by_zone.items() if not present},
            now,
        )

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return the revision from which a watch is to go on."""
        return max(revision, self.version)

    @callback
    def adopt_update(
        self, ages_by_zone: Mapping[str, float], revision: int, now: float
    ) -> None:
        """Take what a neighbour knows that saw a later revision.

        `ages_by_zone` tells for how many seconds each evacuation has been known.
        """
        if revision <= self.version:
            return
        ended = self._ended(ages_by_zone.keys(), revision, now)
        self.version = revision
        self._change(set(ages_by_zone), ended, now)
        for zone, age in ages_by_zone.items():
            known = self.since_by_zone[zone]
            self.since_by_zone[zone] = min(known, now - age - GOSSIP_LAG)

    @callback
    def ages_by_zone(self, now: float) -> dict[str, float]:
        """Return for how many seconds each evacuation has been known."""
        return {zone: now - since for zone, since in self.since_by_zone.items()}

    @callback
    def end_unconfirmed(self, now: float) -> None:
        """End evacuations that a restored store has not listed again."""
        due = {
            zone
            for zone, until in self._unconfirmed_until_by_zone.items()
            if now >= until
        }
        self._change(set(), due, now)

    @callback
    def _ended(self, listed: Set[str], revision: int, now: float) -> set[str]:
        """Return the evacuations that are over, as all are told at a revision.

        What the operators wrote since a restored store's copy is written again.
        """
        missing = self.since_by_zone.keys() - listed
        if not self.version or era_of(revision) <= era_of(self.version):
            return missing
        for zone in missing:
            self._unconfirmed_until_by_zone.setdefault(zone, now + REREGISTRATION_TIME)
        return set()

    @callback
    def _change(self, begun: set[str], ended: set[str], now: float) -> None:
        """Note which evacuations there are, and which are over."""
        before = set(self.since_by_zone)
        for zone in begun:
            self._unconfirmed_until_by_zone.pop(zone, None)
            self.since_by_zone.setdefault(zone, now)
        for zone in ended:
            self._unconfirmed_until_by_zone.pop(zone, None)
        for zone in ended & before:
            del self.since_by_zone[zone]
            self.ended_at_by_zone[zone] = now
        if before == self.since_by_zone.keys():
            return
        self.changed_version = self.version
        log_message(
            message_type="evacuations_changed",
            zones=sorted(self.since_by_zone),
            before=sorted(before),
            revision=self.version,
        )
        self.on_change()

    @callback
    def ended_at(self, zone: str) -> float:
        """Return when a zone's evacuation ended, minus infinity if there was none."""
        return self.ended_at_by_zone.get(zone, -math.inf)


@callback
def _is_present(found: PlatformObject) -> bool:
    """Return whether an object of the store names an evacuated zone."""
    return bool(found.name) and not found.is_deleted


@callback
def _ignore() -> None:
    """Do nothing."""
