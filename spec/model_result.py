"""Result of the check of a model."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelResult:
    """Result of a check, with the shortest trace to each violated invariant.

    `seconds` is CPU time of this process. `is_exhaustive` is False if the check stopped
    before it had visited every state; it then proves nothing.
    """

    name: str
    covers: str
    states: int
    seconds: float
    is_exhaustive: bool
    invariants: tuple[str, ...]
    traces_by_invariant: dict[str, list[str]] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Return whether every invariant holds in every state."""
        return self.is_exhaustive and not self.traces_by_invariant

    @property
    def verdict(self) -> str:
        """Return a short verdict."""
        if self.traces_by_invariant:
            return "VIOLATED"
        return "holds" if self.is_exhaustive else "PARTIAL SWEEP"
