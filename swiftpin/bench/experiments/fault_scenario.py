"""A fault scenario."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.fault_step import FaultStep


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultScenario:
    """Steps in order of time; the load goes on for `recovery` seconds after them."""

    name: str
    steps: tuple[FaultStep, ...]
    recovery: float

    @property
    def duration(self) -> float:
        """Return the seconds from the first fault to the end of the load."""
        return self.steps[-1].at + self.recovery
