"""An object read from the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """Name, version and body; the version is the store revision of the last write."""

    name: str
    version: int
    body: bytes
