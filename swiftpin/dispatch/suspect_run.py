"""One request in flight at a target, as the quarantine sees it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False, kw_only=True, slots=True)
class SuspectRun:
    """A run of a request.

    `company` tells that something else was in flight at the target meanwhile.
    `broken_at` (monotonic seconds) is set when it ended without an answer.
    """

    target: str
    fingerprint: str
    label: str
    company: bool
    broken_at: float | None = None
