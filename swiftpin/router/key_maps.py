"""Key maps of all services at an instance."""

from __future__ import annotations

import asyncio

from eliot import log_message

from swiftpin.core import callback
from swiftpin.keyranges.key_map import KeyMap


class KeyMaps:
    """The newest map of each service, and waiting for a newer one."""

    def __init__(self) -> None:
        self.maps_by_service: dict[str, KeyMap] = {}
        self._changes_by_service: dict[str, asyncio.Event] = {}

    @callback
    def adopt(self, key_map: KeyMap) -> bool:
        """Take a map if it is newer; return whether it was."""
        if not key_map.is_newer_than(self.maps_by_service.get(key_map.service)):
            return False
        self.maps_by_service[key_map.service] = key_map
        changed = self._changes_by_service.pop(key_map.service, None)
        if changed is not None:
            changed.set()
        log_message(
            message_type="key_map_adopted",
            service=key_map.service,
            term=key_map.term,
            number=key_map.number,
            ranges=len(key_map.firsts),
        )
        return True

    @callback
    def owner_of(self, service: str, key: int) -> str:
        """Return the target that serves a key, empty when none is known."""
        key_map = self.maps_by_service.get(service)
        return "" if key_map is None else key_map.owner_of(key)

    async def async_wait_change(self, service: str) -> None:
        """Wait until a service's map changes."""
        changed = self._changes_by_service.setdefault(service, asyncio.Event())
        await changed.wait()
