"""Availability zones whose targets must not get requests."""

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
"""Maximum seconds from the acceptance of an evacuation until this instance learns of
it, with a margin for requests in transit."""


class Evacuations:
    """Evacuated zones, as reported by the store or a neighbour.

    Updates older than the known revision of the store are ignored.
    """

    def __init__(self, limit: float | None) -> None:
        self.since_by_zone: dict[str, float] = {}
        """Time at which the first instance learnt of each evacuation."""

        self.ended_at_by_zone: dict[str, float] = {}
        """Time at which the last evacuation of each zone ended."""

        self.version = 0
        """Revision of the store up to which evacuations are known."""

        self.changed_version = 0
        """Version at which an evacuation last started or ended."""

        self.on_change: Callable[[], None] = _ignore
        self._limit = limit
        self._unconfirmed_until_by_zone: dict[str, float] = {}
        """Evacuations missing from a restored store, with the time at which they count
        as ended unless the store lists them again."""

    @callback
    def set_limit(self, limit: float | None) -> None:
        """Set the seconds from its acceptance in which an evacuation must complete."""
        self._limit = limit

    @property
    def is_known(self) -> bool:
        """Return whether evacuations were received, or the platform has none."""
        return self._limit is None or self.version > 0

    @callback
    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated, so that its targets get no new work."""
        return zone in self.since_by_zone

    @callback
    def may_send(self, zone: str, now: float) -> bool:
        """Return whether requests may still be sent to the targets of a zone.

        Keys of an evacuated zone are served by their owners until they have moved.
        """
        since = self.since_by_zone.get(zone)
        if since is None or self._limit is None:
            return True
        return now - since < self._limit - EVACUATION_LAG

    # Updates.

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Adopt the complete list of evacuations at a revision."""
        if revision < self.version:
            return
        listed = {item.name for item in objects if _is_present(item)}
        ended = self._find_ended(listed, revision, now)
        self.version = revision
        self._apply(listed, ended, now)

    @callback
    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Adopt the changes returned by a watch, up to a revision."""
        if revision < self.version:
            return
        is_present_by_zone = {item.name: _is_present(item) for item in objects}
        self.version = revision
        self._apply(
            {zone for zone, present in is_present_by_zone.items() if present},
            {zone for zone, present in is_present_by_zone.items() if not present},
            now,
        )

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return the revision from which to resume a watch."""
        return max(revision, self.version)

    @callback
    def adopt_update(
        self, ages_by_zone: Mapping[str, float], revision: int, now: float
    ) -> None:
        """Adopt the evacuations known to a neighbour that has seen a later revision.

        `ages_by_zone` holds the seconds for which each evacuation has been known.
        """
        if revision <= self.version:
            return
        ended = self._find_ended(ages_by_zone.keys(), revision, now)
        self.version = revision
        self._apply(set(ages_by_zone), ended, now)
        for zone, age in ages_by_zone.items():
            since = self.since_by_zone[zone]
            self.since_by_zone[zone] = min(since, now - age - GOSSIP_LAG)

    @callback
    def ages_by_zone(self, now: float) -> dict[str, float]:
        """Return the seconds for which each evacuation has been known."""
        return {zone: now - since for zone, since in self.since_by_zone.items()}

    @callback
    def end_unconfirmed(self, now: float) -> None:
        """End evacuations that a restored store has not listed again in time."""
        expired = {
            zone
            for zone, until in self._unconfirmed_until_by_zone.items()
            if now >= until
        }
        self._apply(set(), expired, now)

    @callback
    def _find_ended(self, listed: Set[str], revision: int, now: float) -> set[str]:
        """Return the evacuations missing from a complete list at a revision.

        None has ended yet if the store was restored: evacuations written since its
        backup are expected to be written again.
        """
        missing = self.since_by_zone.keys() - listed
        if not self.version or era_of(revision) <= era_of(self.version):
            return missing
        for zone in missing:
            self._unconfirmed_until_by_zone.setdefault(zone, now + REREGISTRATION_TIME)
        return set()

    @callback
    def _apply(self, started: set[str], ended: set[str], now: float) -> None:
        """Record started and ended evacuations; log and report any difference."""
        previous = set(self.since_by_zone)
        for zone in started:
            self._unconfirmed_until_by_zone.pop(zone, None)
            self.since_by_zone.setdefault(zone, now)
        for zone in ended:
            self._unconfirmed_until_by_zone.pop(zone, None)
        for zone in ended & previous:
            del self.since_by_zone[zone]
            self.ended_at_by_zone[zone] = now
        if previous == self.since_by_zone.keys():
            return
        self.changed_version = self.version
        log_message(
            message_type="evacuations_changed",
            zones=sorted(self.since_by_zone),
            before=sorted(previous),
            revision=self.version,
        )
        self.on_change()

    @callback
    def ended_at(self, zone: str) -> float:
        """Return when the last evacuation of a zone ended, minus infinity if never."""
        return self.ended_at_by_zone.get(zone, -math.inf)


@callback
def _is_present(item: PlatformObject) -> bool:
    """Return whether a store object exists and names an evacuated zone."""
    return bool(item.name) and not item.is_deleted


@callback
def _ignore() -> None:
    """Do nothing."""
