"""Result of a list call."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.store.stored_object import StoredObject


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Objects under a prefix at a store revision; bodies are empty unless requested."""

    revision: int
    objects_by_name: dict[str, StoredObject] = field(default_factory=dict)
