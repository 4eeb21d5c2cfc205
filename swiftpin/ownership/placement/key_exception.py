"""A hot key that has a slice of its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyException:
    """A key split out of the slice `home` into the slice `slice_id`.

    `slice_id` is at least the service's number of slices and lies in the same group
    as `home`, so that records, grants and moves treat it as any other slice.
    """

    key: str
    slice_id: int
    home: int
