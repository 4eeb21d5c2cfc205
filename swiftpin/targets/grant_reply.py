"""Answer of a target to a grant update."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """The target's clock (seconds), the slices it holds and revoked ones in use."""

    clock: float
    held: int
    busy: frozenset[int]
