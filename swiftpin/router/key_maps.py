"""Key maps of all services at an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.key_map import KeyMap

MIN_LOG_INTERVAL: Final = 1.0
"""Seconds between two lines about a service's map."""

DENIAL_TIME: Final = 0.25
"""Seconds for which nothing is sent for a range whose owner does not hold it: renewals
come four times as often when a target has lost its grants."""


class KeyMaps:
    """The newest map of each service, and waiting for a newer one."""

    def __init__(self) -> None:
        self.maps_by_service: dict[str, KeyMap] = {}
        self.on_change: Callable[[str], None] = _noop
        """Called with the name of a service whose map is another one."""

        self._changes_by_service: dict[str, asyncio.Event] = {}
        self._logged_by_service: dict[str, tuple[float, int]] = {}
        self._denied_by_service: dict[str, dict[tuple[int, str], float]] = {}

    @property
    def version(self) -> tuple[int, int]:
        """Return the maps' term and the sum of their numbers."""
        maps = self.maps_by_service.values()
        term = max((key_map.term for key_map in maps), default=0)
        return term, sum(key_map.number for key_map in maps if key_map.term == term)

    @callback
    def adopt(self, key_map: KeyMap) -> bool:
        """Take a map if it is newer; return whether it was."""
        if not key_map.is_newer_than(self.maps_by_service.get(key_map.service)):
            return False
        self.maps_by_service[key_map.service] = key_map
        self._denied_by_service.pop(key_map.service, None)
        changed = self._changes_by_service.pop(key_map.service, None)
        if changed is not None:
            changed.set()
        self.on_change(key_map.service)
        self._log(key_map)
        return True

    @callback
    def _log(self, key_map: KeyMap) -> None:
        """Write a line for a map, unless one was written a moment ago.

        While hot keys are shared out a map changes many times a second; requests' own
        lines name the map that they were decided by.
        """
        now = suspend_aware_now()
        logged_at, term = self._logged_by_service.get(key_map.service, (0.0, 0))
        if now - logged_at < MIN_LOG_INTERVAL and term == key_map.term:
            return
        self._logged_by_service[key_map.service] = (now, key_map.term)
        log_message(
            message_type="key_map_adopted",
            service=key_map.service,
            term=key_map.term,
            number=key_map.number,
            ranges=len(key_map.firsts),
        )

    @callback
    def record_denial(self, service: str, key: int, now: float) -> None:
        """Note that the owner of a key said that it does not hold it."""
        key_map = self.maps_by_service.get(service)
        if key_map is None:
            return
        denied = self._denied_by_service.setdefault(service, {})
        denied[key_map.range_of(key)] = now + DENIAL_TIME

    @callback
    def is_denied(self, service: str, key: int, now: float) -> bool:
        """Return whether the owner of a key lately said that it does not hold it.

        The target's grant has ended, or its keys are just leaving it. Sending on would
        bring refusals only, and use up the retries that other requests need.
        """
        denied = self._denied_by_service.get(service)
        if not denied:
            return False
        return now < denied.get(self.maps_by_service[service].range_of(key), 0.0)

    @callback
    def owner_of(self, service: str, key: int) -> str:
        """Return the target that serves a key, empty when none is known."""
        key_map = self.maps_by_service.get(service)
        return "" if key_map is None else key_map.owner_of(key)

    async def async_wait_for_change(self, service: str) -> None:
        """Wait until a service's map changes."""
        changed = self._changes_by_service.setdefault(service, asyncio.Event())
        await changed.wait()


@callback
def _noop(service: str) -> None:
    """Do nothing."""
