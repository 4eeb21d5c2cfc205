"""Expected end of a waiting request."""

from __future__ import annotations

from typing import Final, NamedTuple

from swiftpin.core import callback
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.recent_grants import WINDOW
from swiftpin.permits.slot_pace import SlotPace

ANSWER_TRANSFER_TIME: Final = 0.02
"""Seconds from the end of a request at its target until the caller has the answer: a
few round trips between zones of a few milliseconds each."""

MAX_OVERTAKING_SHARE: Final = 0.9
"""Upper bound on the share of slots assumed to go to later arrivals, since overload
may end at any time."""


class EndEstimate(NamedTuple):
    """Times by which requests end, each linear in the number of requests ahead.

    The earlier of the two applies: the recent arrivals only predict a period as long as
    their window. Otherwise, callers with seconds left would be rejected in each short
    burst and use up their few retries.
    """

    first_end: float
    interval: float
    """Times if later requests overtake as often as in the last window."""

    first_end_in_window: float
    interval_in_window: float
    """Times if they do so for a window."""

    is_overtaken: bool
    """Whether later requests are expected to overtake."""

    @callback
    def can_finish(self, request: PermitRequest, ahead: int) -> bool:
        """Return whether a request behind `ahead` others ends before its end."""
        return (
            self.first_end + ahead * self.interval <= request.ends_at
            or self.first_end_in_window + ahead * self.interval_in_window
            <= request.ends_at
        )


@callback
def estimate_ends(pace: SlotPace, overtaking_rate: float, now: float) -> EndEstimate:
    """Return the estimate for the requests that later ones overtake at a rate."""
    overtaking_share = min(overtaking_rate * pace.interval, MAX_OVERTAKING_SHARE)
    own_share = 1 - overtaking_share
    end = now + pace.hold + ANSWER_TRANSFER_TIME
    return EndEstimate(
        end + pace.free_in / own_share,
        pace.interval / own_share,
        end + pace.free_in + WINDOW * overtaking_share,
        pace.interval,
        overtaking_share > 0,
    )
