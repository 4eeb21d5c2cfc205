"""Clock for time limits that must not be extended by a suspended machine."""

from __future__ import annotations

import time


def suspend_aware_now() -> float:
    """Return the time in seconds of a clock that includes time spent suspended.

    The monotonic clock stops during suspension: after resuming, an instance would treat
    its lease as still valid and grant keys that others have already taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
