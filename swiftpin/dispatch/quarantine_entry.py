"""What is known against one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.target_death import TargetDeath

REFUSE_DEATHS: Final = 2
"""Deaths that condemn a request which was alone at one of them at least."""
REFUSE_DEATHS_IN_COMPANY: Final = 3
"""Deaths that condemn a request of a service whose requests cannot run alone."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineEntry:
    """Deaths at which the request was in flight, without a success since.

    `label` tells operators which request it is. `changed_at` is wall time in ms.
    """

    fingerprint: str
    label: str
    deaths: frozenset[TargetDeath]
    changed_at: int

    @property
    def verdict(self) -> QuarantineVerdict:
        """Return how the request may run."""
        if not self.deaths:
            return QuarantineVerdict.CLEAR
        alone = any(death.alone for death in self.deaths)
        limit = REFUSE_DEATHS if alone else REFUSE_DEATHS_IN_COMPANY
        if len(self.deaths) >= limit:
            return QuarantineVerdict.REFUSE
        return QuarantineVerdict.ISOLATE
