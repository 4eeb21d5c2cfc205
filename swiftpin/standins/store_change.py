"""One change in the stand-in store's history."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.standins.stored_version import StoredVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreChange:
    """A write or removal (`after` is None) and what stood there before.

    `version` is the store's revision of the change, `at` its time in seconds.
    """

    name: str
    version: int
    at: float
    before: StoredVersion | None
    after: StoredVersion | None
