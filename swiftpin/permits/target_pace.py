"""Rate at which one target can take requests."""

from __future__ import annotations

from typing import NamedTuple

from swiftpin.core import callback
from swiftpin.permits.slot_pace import SlotPace


class TargetPace(NamedTuple):
    """Rate and wait of one target's permits.

    A named tuple is created in a third of the time of a frozen data class; one is
    needed for each limited target and permit of a service without keys.
    """

    max_permits: int
    """Permits that may be outstanding."""

    slot_rate: float
    """Requests per second that the slots can handle."""

    max_rate: float
    """Requests per second that the slots and all limits allow."""

    free_in: float
    """Seconds until the next permit may be granted."""

    is_rate_limited: bool = False
    """Whether a rate limit named by the target determines the pace."""


@callback
def slot_pace_of(pace: TargetPace) -> SlotPace | None:
    """Return the pace of the slots of one target, None if it has no slots."""
    if not pace.slot_rate:
        return None
    return SlotPace(
        free_in=pace.free_in,
        interval=1 / pace.max_rate,
        hold=pace.max_permits / pace.slot_rate,
        is_rate_limited=pace.is_rate_limited,
    )
