"""Name and boot of a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetIdentity:
    """A target's name and the id of its present boot, new at each start."""

    target: str
    boot_id: str
