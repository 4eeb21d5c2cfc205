"""Owner of one slice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SliceAssignment:
    """The target that owns a slice.

    `term` grows with each move of the slice. `standby` may become the owner
    when the owner is lost while the store cannot be reached.
    """

    target: str
    term: int
    standby: str | None = None
