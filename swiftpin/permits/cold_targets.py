"""Targets of one service that are cold."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.permit_issuers import PermitIssuers

COLD_BURST: Final = 1.0
"""Permits beyond the rate that one issuer may give within a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdTargets:
    """Targets of a service that are cold, and what they bear."""

    remaining_by_id: Mapping[str, float] = field(default_factory=dict)
    """Seconds for which each is still cold."""

    rate: float = math.inf
    """Requests a second that one bears."""

    max_per_second: float = math.inf
    """Requests that one may get within a second from all instances together."""

    is_keyed: bool = False

    @callback
    def for_issuer(
        self, service: str, incarnation: str, issuers: PermitIssuers
    ) -> dict[str, ColdTarget]:
        """Return the cold targets by id as one instance may issue permits for them.

        Instances that do not see each other issue permits side by side, each of them
        at the full rate. So only the first few in rank do.
        """
        most = self._most_issuers()
        return {
            target: ColdTarget(
                remaining=left,
                rate=(
                    self.rate
                    if incarnation
                    in issuers.ranked(target if self.is_keyed else service)[:most]
                    else 0.0
                ),
            )
            for target, left in self.remaining_by_id.items()
            if not math.isinf(self.rate)
        }

    @callback
    def _most_issuers(self) -> int:
        """Return how many instances may issue permits for one target side by side."""
        if math.isinf(self.max_per_second):
            return 1
        return max(int(self.max_per_second / (self.rate + COLD_BURST)), 1)


ALL_WARM: Final = ColdTargets()
