"""A store in memory whose faults a test sets for each call."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from swiftpin.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject


@dataclass(kw_only=True, slots=True)
class FakeStore:
    """Objects with versions.

    `down` refuses every call. `lost_answers` is the number of writes to come that
    take effect and lose their answer, `delayed_writes` of those that are reported
    as unknown and take effect at `release_delayed`, if their condition still holds.
    """

    objects_by_name: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    down: bool = False
    lost_answers: int = 0
    delayed_writes: int = 0
    delayed: list[tuple[str, bytes, int | None]] = field(default_factory=list)
    puts: list[str] = field(default_factory=list)

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, None when it is absent."""
        await asyncio.sleep(0)
        self._raise_if_down()
        return self.objects_by_name.get(name)

    async def async_list(self, prefix: str, *, bodies: bool = False) -> Listing:
        """Return the objects under the prefix."""
        await asyncio.sleep(0)
        self._raise_if_down()
        found = {
            name: stored
            for name, stored in self.objects_by_name.items()
            if name.startswith(prefix)
        }
        return Listing(revision=self.revision, objects_by_name=found)

    async def async_put(
        self, name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        """Write the object and return its new version."""
        await asyncio.sleep(0)
        self.puts.append(name)
        self._raise_if_down()
        if self.delayed_writes:
            self.delayed_writes -= 1
            self.delayed.append((name, body, expect))
            raise StoreOutcomeUnknownError("the request is late")
        version = self.apply(name, body, expect)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreOutcomeUnknownError("the answer was lost")
        return version

    async def async_delete(self, name: str, *, expect: int | None = None) -> None:
        """Remove the object."""
        await asyncio.sleep(0)
        self._raise_if_down()
        self.objects_by_name.pop(name, None)

    def release_delayed(self) -> None:
        """Carry out the delayed writes whose condition still holds."""
        for name, body, expect in self.delayed:
            with suppress(StoreConflictError):
                self.apply(name, body, expect)
        self.delayed.clear()

    def apply(self, name: str, body: bytes, expect: int | None) -> int:
        """Carry a write out at once."""
        present = self.objects_by_name.get(name)
        version = 0 if present is None else present.version
        if expect is not None and expect != version:
            raise StoreConflictError(name, version)
        self.revision += 1
        self.objects_by_name[name] = StoredObject(
            name=name, version=self.revision, body=body
        )
        return self.revision

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError("the store is down")
