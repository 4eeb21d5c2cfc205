"""Key maps of all services known to an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.key_map import KeyMap

MIN_LOG_INTERVAL: Final = 1.0
"""Minimum seconds between two log lines about the map of one service."""

DENIAL_TIME: Final = 0.25
"""Seconds for which no request is sent for a range after its owner denied holding it.
Renewals are four times as frequent when a target has lost its grants."""


class KeyMaps:
    """Holds the newest key map of each service and notifies of newer ones."""

    def __init__(self) -> None:
        self.maps_by_service: dict[str, KeyMap] = {}
        self.on_change: Callable[[str], None] = _noop
        """Called with the name of a service after its map has changed."""

        self._changes_by_service: dict[str, asyncio.Event] = {}
        self._logged_by_service: dict[str, tuple[float, int]] = {}
        self._denied_by_service: dict[str, dict[tuple[int, str], float]] = {}

    @property
    def version(self) -> tuple[int, int]:
        """Return the newest term and the sum of the map numbers in that term."""
        maps = self.maps_by_service.values()
        term = max((key_map.term for key_map in maps), default=0)
        return term, sum(key_map.number for key_map in maps if key_map.term == term)

    @callback
    def adopt(self, key_map: KeyMap) -> bool:
        """Adopt a map if it is newer; return whether it was."""
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
        """Log a new map, at most once per `MIN_LOG_INTERVAL` in the same term.

        While hot keys are redistributed a map changes many times per second. The log
        line of each request names the map that decided its target.
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
        """Record that the owner of a key denied holding it."""
        key_map = self.maps_by_service.get(service)
        if key_map is None:
            return
        denied = self._denied_by_service.setdefault(service, {})
        denied[key_map.range_of(key)] = now + DENIAL_TIME

    @callback
    def is_denied(self, service: str, key: int, now: float) -> bool:
        """Return whether the owner of a key recently denied holding it.

        Either the target's grant has expired or its keys are being moved. Further
        requests would only be refused and use up the retry budget of other requests.
        """
        denied = self._denied_by_service.get(service)
        if not denied:
            return False
        return now < denied.get(self.maps_by_service[service].range_of(key), 0.0)

    @callback
    def owner_of(self, service: str, key: int) -> str:
        """Return the target that owns a key, empty if none is known."""
        key_map = self.maps_by_service.get(service)
        return "" if key_map is None else key_map.owner_of(key)

    async def async_wait_for_change(self, service: str) -> None:
        """Wait until a service's map changes."""
        changed = self._changes_by_service.setdefault(service, asyncio.Event())
        await changed.wait()


@callback
def _noop(service: str) -> None:
    """Do nothing."""
