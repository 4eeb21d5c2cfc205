"""Order in which waiting requests get the slots that they share."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from operator import itemgetter
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.waiting_requests import (
    ObjectiveEntry,
    PriorityClass,
    WaitingRequests,
)

MIN_SPARE_HOLDS: Final = 2.0
"""Minimum slack, in mean slot hold times, that a request must keep when one of lower
priority delays it: the times are estimates, and more urgent requests may arrive."""


MAX_SLOTS: Final = 100_000
"""Number of planned slots, more than requests wait in any queue."""


ROUNDING_MARGIN: Final = 1e-6
"""Distance from a whole number at which a quotient is checked."""

_objective: Final = itemgetter(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceOrder:
    """Requests in the order in which they get slots: first in-time, then late ones."""

    in_time: tuple[PermitRequest, ...]
    """Requests expected to meet their objective, earliest objective first."""

    late: tuple[PermitRequest, ...]
    """The other requests, by priority, precedence, then by earliest end."""


@callback
def order_requests(
    requests: Iterable[PermitRequest], pace: SlotPace, now: float
) -> ServiceOrder:
    """Select the requests that can meet their objective, and order all requests."""
    waiting = WaitingRequests()
    for request in requests:
        waiting.add(request)
    selected = select_in_time(waiting, pace, now)
    numbers = {entry.number for entry in selected}
    return ServiceOrder(
        in_time=tuple(entry.request for entry in selected),
        late=tuple(
            entry.request
            for priority_class in waiting.classes
            for entry in priority_class.by_end
            if entry.number not in numbers
        ),
    )


@callback
def select_in_time(
    waiting: WaitingRequests, pace: SlotPace, now: float
) -> list[ObjectiveEntry]:
    """Return the requests that can meet their objective, in the order of service.

    Slots are planned by priority: a request is selected if it fits without making one
    of higher priority late. The selected ones are served by objective. If they were
    served by priority, urgent requests with slack would make others late, and late
    ones would delay requests that could still be in time.
    """
    first_end = now + pace.free_in + pace.hold
    selected: list[ObjectiveEntry] = []
    for priority_class in waiting.classes:
        added = _select(selected, priority_class, pace, first_end)
        if selected or not priority_class.has_one_precedence:
            # A stable sort keeps more urgent requests first among equal objectives.
            selected = sorted([*selected, *added], key=_objective)
        else:
            selected = added
    return selected


@callback
def _select(
    higher: list[ObjectiveEntry],
    priority_class: PriorityClass,
    pace: SlotPace,
    first_end: float,
) -> list[ObjectiveEntry]:
    """Return the requests of a class that fit beside selected ones of higher priority.

    `first_end` is the expected end of a request that gets the next slot.
    """
    candidates = priority_class.by_objective
    if not higher and priority_class.has_one_precedence:
        return _select_first(candidates, pace.interval, first_end)
    places = _places(higher, candidates, pace, first_end)
    if priority_class.has_one_precedence:
        selected: list[ObjectiveEntry] = []
        for entry, max_place in zip(candidates, places, strict=True):
            if len(selected) < max_place:
                selected.append(entry)
        return selected
    return _select_by_precedence(candidates, places)


@callback
def _select_first(
    candidates: list[ObjectiveEntry], interval: float, first_end: float
) -> list[ObjectiveEntry]:
    """Return the requests that fit if no others are selected."""
    selected: list[ObjectiveEntry] = []
    count = 0
    ends_at = first_end
    for entry in islice(candidates, bisect_left(candidates, (first_end,)), None):
        if ends_at <= entry[0]:
            selected.append(entry)
            count += 1
            ends_at = first_end + count * interval
    return selected


@callback
def _places(
    higher: list[ObjectiveEntry],
    candidates: list[ObjectiveEntry],
    pace: SlotPace,
    first_end: float,
) -> list[int]:
    """Return how many candidates may be selected up to each one.

    Up to that number, it meets its objective, and so do all selected requests behind it
    and those of higher priority, which keep their minimum slack.
    """
    interval = pace.interval
    first_end_with_slack = first_end + MIN_SPARE_HOLDS * pace.hold
    places = [0] * len(candidates)
    max_place = len(candidates)
    ahead = len(higher)
    for index in range(len(candidates) - 1, -1, -1):
        objective_at = candidates[index][0]
        while ahead and higher[ahead - 1][0] > objective_at:
            ahead -= 1
            place = _latest_slot(higher[ahead][0], first_end_with_slack, interval)
            if place - ahead < max_place:
                max_place = place - ahead
        place = _latest_slot(objective_at, first_end, interval) - ahead + 1
        if place < max_place:
            max_place = place
        if max_place <= 0:
            break
        places[index] = max_place
    return places


@callback
def _latest_slot(objective_at: float, first_end: float, interval: float) -> int:
    """Return the number of the last slot that meets an objective, -1 if none does."""
    if objective_at < first_end:
        return -1
    if objective_at >= first_end + MAX_SLOTS * interval:
        return MAX_SLOTS
    quotient = (objective_at - first_end) / interval
    number = int(quotient)
    if ROUNDING_MARGIN < quotient - number < 1 - ROUNDING_MARGIN:
        return number
    # The quotient may be rounded across a whole number.
    if first_end + number * interval > objective_at:
        return number - 1
    if first_end + (number + 1) * interval <= objective_at:
        return number + 1
    return number


@callback
def _select_by_precedence(
    candidates: list[ObjectiveEntry], places: list[int]
) -> list[ObjectiveEntry]:
    """Return the candidates that fit if those of lower precedence are placed first.

    Each one takes the last free place up to its own. A set of requests fits if, and
    only if, all of them find a place.
    """
    next_free = list(range(len(candidates) + 1))
    ranked = sorted(
        (entry[2].precedence, index)
        for index, entry in enumerate(candidates)
        if places[index]
    )
    selected: list[ObjectiveEntry] = []
    for _, index in ranked:
        place = places[index]
        while (other := next_free[place]) != place:
            next_free[place] = next_free[other]
            place = other
        if place:
            next_free[place] = place - 1
            selected.append(candidates[index])
    return selected
