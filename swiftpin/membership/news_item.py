"""One version of a store object as instances send it to each other."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.stamp import Stamp


@dataclass(frozen=True, kw_only=True, slots=True)
class NewsItem:
    """A version; `body` is None when it is only announced.

    `version` is the store's version of the write, 0 where it is not known.
    """

    name: str
    stamp: Stamp
    body: bytes | None
    version: int = 0

    @classmethod
    def whole(cls, obj: CachedObject) -> NewsItem:
        """Return the item that carries the object's body."""
        return cls(name=obj.name, stamp=obj.stamp, body=obj.body, version=obj.version)

    @classmethod
    def announcement(cls, obj: CachedObject) -> NewsItem:
        """Return the item that names the version only."""
        return cls(name=obj.name, stamp=obj.stamp, body=None, version=obj.version)

    @property
    def size(self) -> int:
        """Return roughly how many bytes the item takes in a message."""
        return len(self.name) + len(self.body or b"")

    def to_object(self) -> CachedObject | None:
        """Return the object, None for an announcement."""
        if self.body is None:
            return None
        return CachedObject(
            name=self.name, stamp=self.stamp, body=self.body, version=self.version
        )
