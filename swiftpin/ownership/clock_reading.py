"""A target's clock as it was last read."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.timing import Timing


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockReading:
    """The target's clock (seconds) and our time when the answer arrived."""

    boot_id: str
    clock: float
    received_at: float

    def expires_at(self, limit: float, timing: Timing) -> float:
        """Return the target's clock at a moment no later than our `limit`.

        The clock was read before its answer arrived, so the true moment is earlier
        by up to the answer's travel; drift is taken off. A renewal that the network
        or a frozen target holds back therefore cannot outlast `limit`.
        """
        return self.clock + (limit - self.received_at) * (1 - timing.drift)
