"""What the check of one model found."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelResult:
    """`traces_by_invariant` has the shortest trace to each violated invariant.

    `seconds` are of this process's CPU time. `whole` is False when the sweep stopped
    before every state was seen; nothing is proved then.
    """

    name: str
    covers: str
    states: int
    seconds: float
    whole: bool
    invariants: tuple[str, ...]
    traces_by_invariant: dict[str, list[str]] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Return whether every invariant holds in every state."""
        return self.whole and not self.traces_by_invariant

    @property
    def verdict(self) -> str:
        """Return the verdict in a word or two."""
        if self.traces_by_invariant:
            return "VIOLATED"
        return "holds" if self.whole else "PARTIAL SWEEP"
