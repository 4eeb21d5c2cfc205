"""What one model of a fenced group covers."""

from __future__ import annotations

from dataclasses import dataclass

from spec.fenced.lease_kind import LeaseKind


@dataclass(frozen=True, kw_only=True, slots=True)
class Scope:
    """Events that a model lets happen, in all interleavings.

    `leases` are in the order of their terms; `moves` how many each holder may make;
    `late` of how many leases, the lowest first, grants may arrive late; `restarts` the
    target that may restart once; `planned` whether the moves are planned ones, with
    answers of writes lost, in place of those of a lost target's slice.
    """

    leases: tuple[LeaseKind, ...]
    moves: tuple[int, ...]
    late: int = 0
    restarts: int | None = None
    planned: bool = False
