"""What the journal and the quarantine need of the platform's store."""

from __future__ import annotations

from typing import Protocol

from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject


class JournalStore(Protocol):
    """The part of `swiftpin.store.client.StoreClient` that is used, same errors."""

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, None when it is absent."""

    async def async_list(self, prefix: str, *, bodies: bool = False) -> Listing:
        """Return the objects under the prefix."""

    async def async_put(
        self, name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        """Write the object and return its new version."""

    async def async_delete(self, name: str, *, expect: int | None = None) -> None:
        """Remove the object."""
