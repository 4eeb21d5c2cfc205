"""Durations in the models, in ticks.

Limits take two ticks, the shortest duration with which a limit can be extended after
another one has started: with one tick, all limits set in a tick would end together.
"""

from __future__ import annotations

from typing import Final

HOLDER_LIMIT: Final = 2
GRANT_TTL: Final = 2
PREDECESSOR_WAIT: Final = HOLDER_LIMIT + GRANT_TTL

LONG_ENDED: Final = 1 - HOLDER_LIMIT
"""Lowest value of a countdown that continues below zero: `-n` means that it ended `n`
ticks before the last tick."""

NOT_BEGUN: Final = PREDECESSOR_WAIT + 1
"""Value of a wait that has not started."""


def down(ticks: int) -> int:
    """Return a countdown one tick later; it stops at 0."""
    return ticks - 1 if ticks > 0 else 0


def down_past_end(ticks: int) -> int:
    """Return a wait one tick later; it continues below zero after its end."""
    if ticks in (NOT_BEGUN, LONG_ENDED):
        return ticks
    return ticks - 1
