"""Order in which requests that wait for the same slots get them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.slot_pace import SlotPace

MIN_SPARE_HOLDS: Final = 2.0
"""Time to spare, in mean holds of a slot, that others leave requests of higher
priority: the times are estimates, and more urgent requests may still come."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceOrder:
    """Requests in the order in which they get slots: those in time, then the others."""

    in_time: tuple[PermitRequest, ...]
    """Requests that will make their objective, nearest objective first."""

    late: tuple[PermitRequest, ...]
    """The others, by priority, nearest end first."""


@callback
def order_requests(
    requests: Iterable[PermitRequest], pace: SlotPace, now: float
) -> ServiceOrder:
    """Choose the requests that are to make their objective, and order all of them.

    Slots are promised by priority: a request is chosen if it fits in without making one
    of higher priority late. Those chosen are served by objective. Served by priority,
    urgent requests with time to spare make others late, and late ones hold up requests
    that would still be in time.
    """
    chosen: list[PermitRequest] = []
    late: list[PermitRequest] = []
    for request in sorted(requests, key=lambda r: (r.priority, r.objective_at)):
        position = _insert_position(request, chosen)
        if _fits(request, position, chosen, pace, now):
            chosen.insert(position, request)
        else:
            late.append(request)
    late.sort(key=lambda request: (request.priority, request.ends_at))
    return ServiceOrder(in_time=tuple(chosen), late=tuple(late))


@callback
def _insert_position(request: PermitRequest, chosen: list[PermitRequest]) -> int:
    """Return before how many of the chosen requests another one comes last."""
    position = len(chosen)
    while position and chosen[position - 1].objective_at > request.objective_at:
        position -= 1
    return position


@callback
def _fits(
    request: PermitRequest,
    position: int,
    chosen: list[PermitRequest],
    pace: SlotPace,
    now: float,
) -> bool:
    """Return whether a request and those that it would delay make their objectives."""
    ends_at = now + pace.free_in + pace.hold + position * pace.interval
    if ends_at > request.objective_at:
        return False
    for delayed in chosen[position:]:
        ends_at += pace.interval
        is_more_urgent = delayed.priority < request.priority
        spare = MIN_SPARE_HOLDS * pace.hold if is_more_urgent else 0.0
        if ends_at + spare > delayed.objective_at:
            return False
    return True
