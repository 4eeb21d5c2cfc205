"""One version of a store object as an instance knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.membership.stamp import Stamp, stamp_of
from swiftpin.store.stored_object import StoredObject


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedObject:
    """Name, stamp and body of an object.

    `version` is the store's version of the write, 0 where it is not known. It does
    not order versions; it only tells a watcher that it need not read them again.
    """

    name: str
    stamp: Stamp
    body: bytes
    version: int = field(default=0, compare=False)

    @classmethod
    def from_stored(cls, stored: StoredObject) -> CachedObject:
        """Return the cached form of an object read from the store.

        Raises `MalformedObjectError` when its body cannot be ordered.
        """
        return cls(
            name=stored.name,
            stamp=stamp_of(stored.name, stored.version, stored.body),
            body=stored.body,
            version=stored.version,
        )
