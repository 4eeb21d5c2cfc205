"""Rule on when the lease holder leaves the lease to an instance with better links."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
import math
from typing import Final

from swiftpin.core import callback

MIN_RATIO: Final = 2
"""Ratio of the holder's lost links to those of another instance above which the other
one is the better holder."""

CONFIRMATION_TIME: Final = 0.3
"""Seconds for which that must be so. Other instances notice a failure that is not the
holder's alone within this time."""

MAX_PAUSE: Final = 5.0
"""Seconds after which keys are moved again although the holder's own links may be at
fault. Targets keep their keys for about this long without renewals."""

HANDOVER_INTERVAL: Final = 10.0
"""Minimum seconds between two handovers by one instance, so that the lease does not
pass round between instances that each reach only some targets."""


class HandoverDecision(Enum):
    """What the holder does about its lost links."""

    KEEP = auto()
    """Plan moves as usual."""

    PAUSE = auto()
    """Plan no moves: keys would move away from targets that others reach."""

    HAND_OVER = auto()
    """Give the lease up, so that another instance renews the grants."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderLinks:
    """Numbers of targets that instances do not reach."""

    own_faults: int
    """Lost links of the holder that say nothing about their targets."""

    witnessed: int
    """Those among them whose targets have answered others meanwhile."""

    least_of_others: int | None
    """Fewest lost links of another instance, None if there is no other one."""

    is_store_lost: bool = False
    """Whether the store does not answer, so that nobody could take the lease over."""


class HandoverRule:
    """Decides whether the holder keeps the lease; times are suspend-aware."""

    def __init__(self) -> None:
        self._worse_since: float | None = None
        self._handed_over_at = -math.inf

    @callback
    def decide(self, links: HolderLinks, now: float) -> HandoverDecision:
        """Return what the holder does now."""
        least = links.least_of_others
        if least is None or links.own_faults <= MIN_RATIO * least:
            self._worse_since = None
            return HandoverDecision.KEEP
        if self._worse_since is None:
            self._worse_since = now
        worse_for = now - self._worse_since
        if (
            not links.is_store_lost
            and links.witnessed > MIN_RATIO * least
            and worse_for >= CONFIRMATION_TIME
            and now - self._handed_over_at >= HANDOVER_INTERVAL
        ):
            self._handed_over_at = now
            self._worse_since = None
            return HandoverDecision.HAND_OVER
        if worse_for < MAX_PAUSE:
            return HandoverDecision.PAUSE
        return HandoverDecision.KEEP
