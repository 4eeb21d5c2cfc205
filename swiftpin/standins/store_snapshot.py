"""The stand-in store's objects at one revision."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.standins.stored_version import StoredVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSnapshot:
    """Objects by name, and the revision at which they stood so."""

    revision: int
    versions_by_name: dict[str, StoredVersion]
