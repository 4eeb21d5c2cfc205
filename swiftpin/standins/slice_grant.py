"""A slice granted to a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class SliceGrant:
    """A held slice; `expires_at` is in seconds of the target's clock.

    `running` counts the executions on the slice. A slice that is being revoked
    takes no new work and leaves once none runs.
    """

    slice_id: int
    slice_term: int
    expires_at: float
    running: int = 0
    revoking: bool = False
