"""Violation: a slice has two owners at one time."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.owner_interval import OwnerInterval


@dataclass(frozen=True, kw_only=True, slots=True)
class TwoOwners:
    """Two targets whose ownership of one slice overlaps."""

    first: OwnerInterval
    second: OwnerInterval

    def __str__(self) -> str:
        return (
            f"service={self.first.service} slice={self.first.slice_id} "
            f"first={self.first} second={self.second}"
        )
