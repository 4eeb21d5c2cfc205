"""One step of a fault scenario."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.fault_action import FaultAction


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultStep:
    """An action and when it comes, in seconds after the first fault."""

    at: float
    action: FaultAction
