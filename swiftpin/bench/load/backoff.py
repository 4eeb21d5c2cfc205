"""Callers' waits between tries."""

from __future__ import annotations

from random import Random
from typing import Final

FIRST_WAIT: Final = 0.03
MAX_WAIT: Final = 2.0
MAX_DOUBLINGS: Final = 10
LEAST_SHARE: Final = 0.5


def retry_wait(tries: int, random: Random) -> float:
    """Return the seconds to wait after `tries` failed tries: exponential, jittered."""
    longest = min(MAX_WAIT, FIRST_WAIT * 2.0 ** min(tries - 1, MAX_DOUBLINGS))
    return longest * random.uniform(LEAST_SHARE, 1.0)
