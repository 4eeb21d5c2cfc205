"""Lengths of time in the models, in ticks.

Two ticks are the shortest lengths that show a limit that is extended after another
limit began: with one tick, everything sent in one tick ends together.
"""

from __future__ import annotations

from typing import Final

HOLDER_LIMIT: Final = 2
GRANT_TTL: Final = 2
PREDECESSOR_WAIT: Final = HOLDER_LIMIT + GRANT_TTL

LONG_ENDED: Final = 1 - HOLDER_LIMIT
"""Countdowns go on below zero to here: `-n` ended `n` ticks before the last tick."""

NOT_BEGUN: Final = PREDECESSOR_WAIT + 1
"""Value of a wait whose begin is still open."""


def down(ticks: int) -> int:
    """Return a limit one tick later; 0 is the end."""
    return ticks - 1 if ticks > 0 else 0


def down_past_end(ticks: int) -> int:
    """Return a wait one tick later, counting how long ago it ended."""
    if ticks in (NOT_BEGUN, LONG_ENDED):
        return ticks
    return ticks - 1
