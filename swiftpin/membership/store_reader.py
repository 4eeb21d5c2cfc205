"""What the news service reads from the store."""

from __future__ import annotations

from typing import Protocol

from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject
from swiftpin.store.watch_result import WatchResult


class StoreReader(Protocol):
    """Reads of the store; each raises `StoreUnavailableError`."""

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, None when it is absent."""

    async def async_list(self, prefix: str, *, bodies: bool = False) -> Listing:
        """Return the objects under the prefix."""

    async def async_watch(
        self, prefix: str, after: int, wait: float
    ) -> WatchResult | None:
        """Wait for changes after a revision; None when it is too old to know."""
