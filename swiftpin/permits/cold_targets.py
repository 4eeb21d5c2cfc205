"""Cold targets of one service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.cold_limit import ColdTarget

COLD_BURST: Final = 1.0
"""Permits beyond the rate that one issuer may grant within a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdTargets:
    """Cold targets of a service and the request rate that they can handle."""

    remaining_by_id: Mapping[str, float] = field(default_factory=dict)
    """Seconds until each target is warm."""

    rate: float = math.inf
    """Requests per second that one cold target can handle."""

    max_per_second: float = math.inf
    """Requests that one cold target may receive within a second from all instances."""

    @callback
    def by_id(self) -> dict[str, ColdTarget]:
        """Return the cold targets by id.

        Issuers grant permits independently of each other, each at the full rate.
        """
        if math.isinf(self.rate):
            return {}
        max_issuers = self._max_issuers()
        return {
            target: ColdTarget(
                remaining=remaining, rate=self.rate, max_issuers=max_issuers
            )
            for target, remaining in self.remaining_by_id.items()
        }

    @callback
    def _max_issuers(self) -> int:
        """Return how many instances may grant permits for one target independently."""
        if math.isinf(self.max_per_second):
            return 1
        return max(int(self.max_per_second / (self.rate + COLD_BURST)), 1)


ALL_WARM: Final = ColdTargets()
