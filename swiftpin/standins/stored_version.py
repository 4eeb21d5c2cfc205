"""One version of an object in the stand-in store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredVersion:
    """Body of an object and the store's revision of the write."""

    version: int
    body: bytes
