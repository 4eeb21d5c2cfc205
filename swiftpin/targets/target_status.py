"""What a target says about itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """Answer of `/_target/status`.

    `clock` is in seconds on the target's own monotonic clock. The load fields may
    lag or be wrong; `boot_id` and `clock` are not.
    """

    boot_id: str
    clock: float
    slots: int
    busy: int
    queued: int
    draining: bool
    cold: bool
