"""Trace event: slices are no longer held."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from swiftpin.trace.release_reason import ReleaseReason


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleasedEvent:
    """A target held the slices until `at` (monotonic seconds).

    A lapse is stamped with the grant's limit, not with the time of noticing.
    """

    kind: Literal["released"] = "released"
    target: str
    boot_id: str
    service: str
    group: int
    slices: tuple[int, ...]
    at: float
    why: ReleaseReason
