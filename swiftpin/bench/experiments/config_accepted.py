"""A change of a declaration that the store accepted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedChange:
    """What an operator was told; times are Unix seconds of this machine.

    `label` is `kind/name`. `began_at` is just before the write, `accepted_at` when
    the operator knew that it took effect.
    """

    label: str
    generation: int
    writer: str
    began_at: float
    accepted_at: float
    read_back: bool
