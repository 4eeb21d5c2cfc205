"""Body of a grants call to a target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from pydantic import ConfigDict


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantsMessage:
    """Grants, renewals and revocations for one group.

    `grant` lists slice and slice term; `expires_at` is in seconds of the target's
    clock, `revoke_wait` in milliseconds.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    service: str
    group: int
    term: int
    holder: str
    boot_id: str
    expires_at: float
    grant: list[tuple[int, int]] = field(default_factory=list)
    revoke: list[int] = field(default_factory=list)
    revoke_wait: float = 0.0
