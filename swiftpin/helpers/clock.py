"""Clock for promises that must not outlast a suspension."""

from __future__ import annotations

import time


def suspend_aware_now() -> float:
    """Return seconds on a clock that also counts while the machine is suspended.

    The monotonic clock stands still then: an instance that woke up would believe that
    its lease still runs, and would grant keys that others have taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
