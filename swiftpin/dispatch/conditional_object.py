"""A store object that one writer at a time may change."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.exceptions import PageTakenError
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.exceptions import StoreConflictError, StoreOutcomeUnknownError
from swiftpin.store.stored_object import StoredObject

WRITE_TRIES: Final = 3


class ConditionalObject:
    """Replaces exactly the version it knows, and settles writes whose answer is lost.

    `writer_of` returns the unique writer id inside a stored body. An attempt whose
    answer was lost may still take effect later; since every attempt expects the
    same version, at most one of them ever does.
    """

    def __init__(
        self, store: JournalStore, name: str, writer_of: Callable[[bytes], str | None]
    ) -> None:
        self.name = name
        self.version = 0
        self._store = store
        self._writer_of = writer_of
        self._attempts: set[str] = set()

    async def async_read(self) -> StoredObject | None:
        """Return the present object; raise `StoreUnavailableError`."""
        return await self._store.async_get(self.name)

    @callback
    def adopt(self, version: int) -> None:
        """Build on a version; the attempts before it can no longer take effect."""
        self.version = version
        self._attempts.clear()

    @callback
    def is_own(self, stored: StoredObject | None) -> bool:
        """Return whether a read shows what this writer wrote last, or tried to."""
        if stored is None:
            return self.version == 0
        if stored.version == self.version:
            return True
        return self._writer_of(stored.body) in self._attempts

    async def async_write(self, writer: str, body: bytes) -> None:
        """Replace the object, and return once that is known to have happened.

        Raises `PageTakenError` when another writer changed it, `StoreError` when
        the store did not answer; the write may then take effect later.
        """
        for _ in range(WRITE_TRIES):
            if self._attempts and await self._async_settle() == writer:
                return
            if await self._async_try(writer, body):
                return
        raise StoreOutcomeUnknownError(f"writing {self.name}: no try was confirmed")

    async def _async_try(self, writer: str, body: bytes) -> bool:
        """Write once and return whether the store confirmed it."""
        self._attempts.add(writer)
        try:
            version = await self._store.async_put(self.name, body, expect=self.version)
        except (StoreConflictError, StoreOutcomeUnknownError):
            return False
        self.adopt(version)
        return True

    async def _async_settle(self) -> str | None:
        """Read back and return the attempt that took effect, None so far."""
        stored = await self._store.async_get(self.name)
        if (0 if stored is None else stored.version) == self.version:
            return None
        writer = None if stored is None else self._writer_of(stored.body)
        if stored is None or writer not in self._attempts:
            raise PageTakenError(f"{self.name} was changed by another writer")
        self.adopt(stored.version)
        return writer
