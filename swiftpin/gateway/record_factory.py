"""Making of the records that dispatch keeps in the store."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
import time

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.quarantine import Quarantine
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.ownership.group_id import GroupId
from swiftpin.store.client import StoreClient

SendUntil = Callable[[GroupId, float], float | None]
"""Returns until when this instance may send for a group, None if not at that time."""


class RecordFactory:
    """Makes journals and quarantines for this instance."""

    def __init__(
        self,
        *,
        instance_id: str,
        store: StoreClient,
        catalog: Catalog,
        send_until: SendUntil,
        rng: Random,
    ) -> None:
        self._instance_id = instance_id
        self._store = store
        self._catalog = catalog
        self._send_until = send_until
        self._rng = rng
        self._wall = WallClock.from_times(wall=time.time(), monotonic=monotonic_now())

    @callback
    def journal(self, group: GroupId) -> IdempotencyJournal:
        """Return the journal of a group that this instance holds."""
        service = self._catalog.service(group.service)
        settings = JournalSettings()
        if service is not None:
            settings = JournalSettings.from_profile(self._catalog.profile_of(service))

        def is_confirmed(now: float) -> bool:
            """Return whether the group's lease is certainly held."""
            until = self._send_until(group, now)
            return until is not None and now < until

        return IdempotencyJournal(
            self._store,
            group,
            self._instance_id,
            settings,
            self._rng,
            is_confirmed=is_confirmed,
            wall=self._wall,
        )

    @callback
    def quarantine(self, service: Service) -> Quarantine:
        """Return a service's quarantine; only holders send to targets with owners."""
        return Quarantine(
            self._store, service.name, exclusive=service.keyed, wall=self._wall
        )
