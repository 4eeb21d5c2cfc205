"""Waiting requests in the orders in which they are considered."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from swiftpin.core import callback
from swiftpin.permits.end_estimate import ANSWER_TRANSFER_TIME
from swiftpin.permits.permit_request import PermitRequest


class ObjectiveEntry(NamedTuple):
    """Waiting request with the sort key by objective."""

    objective_at: float
    number: int
    request: PermitRequest


class EndEntry(NamedTuple):
    """Waiting request with the sort key by end, for those that will be late."""

    precedence: float
    ends_at: float
    objective_at: float
    number: int
    request: PermitRequest


class PriorityClass:
    """Waiting requests of one priority."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.by_objective: list[ObjectiveEntry] = []
        self.by_end: list[EndEntry] = []
        self.has_early_ends = False
        """Whether a request may be in time and yet end too early for its caller."""

    @property
    def has_one_precedence(self) -> bool:
        """Return whether all requests have the same precedence."""
        return (
            not self.by_end or self.by_end[0].precedence == self.by_end[-1].precedence
        )

    @callback
    def add(self, number: int, request: PermitRequest) -> None:
        """Add a request; `number` orders those with equal times."""
        if request.ends_at < request.objective_at + ANSWER_TRANSFER_TIME:
            self.has_early_ends = True
        insort(self.by_objective, _objective_entry(number, request))
        insort(self.by_end, _end_entry(number, request))

    @callback
    def remove(self, number: int, request: PermitRequest) -> None:
        """Remove a request."""
        objective_entry = _objective_entry(number, request)
        del self.by_objective[bisect_left(self.by_objective, objective_entry)]
        del self.by_end[bisect_left(self.by_end, _end_entry(number, request))]


class WaitingRequests:
    """Waiting requests by id, and by priority in kept sorted lists."""

    def __init__(self) -> None:
        self._numbers = count()
        self._numbers_by_id: dict[tuple[str, int], int] = {}
        self._requests_by_id: dict[tuple[str, int], PermitRequest] = {}
        self.classes_by_priority: dict[int, PriorityClass] = {}
        """Classes in which requests are waiting."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests_by_id)

    def __iter__(self) -> Iterator[PermitRequest]:
        """Iterate over the requests in the order of their arrival."""
        return iter(self._requests_by_id.values())

    def __contains__(self, request_id: tuple[str, int]) -> bool:
        """Return whether a request is waiting."""
        return request_id in self._requests_by_id

    @property
    def is_uniform(self) -> bool:
        """Return whether all requests have the same priority and precedence."""
        classes = self.classes_by_priority
        return len(classes) == 1 and next(iter(classes.values())).has_one_precedence

    @property
    def classes(self) -> list[PriorityClass]:
        """Return the classes, most urgent first."""
        if len(self.classes_by_priority) == 1:
            return list(self.classes_by_priority.values())
        return [
            self.classes_by_priority[priority]
            for priority in sorted(self.classes_by_priority)
        ]

    @callback
    def add(self, request: PermitRequest) -> None:
        """Add a request."""
        number = self._numbers_by_id[request.id] = next(self._numbers)
        self._requests_by_id[request.id] = request
        priority_class = self.classes_by_priority.get(request.priority)
        if priority_class is None:
            priority_class = PriorityClass(request.priority)
            self.classes_by_priority[request.priority] = priority_class
        priority_class.add(number, request)

    @callback
    def remove(self, request_id: tuple[str, int]) -> None:
        """Remove a request, if it is waiting."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return
        priority_class = self.classes_by_priority[request.priority]
        priority_class.remove(self._numbers_by_id.pop(request_id), request)
        if not priority_class.by_end:
            del self.classes_by_priority[request.priority]


@callback
def _objective_entry(number: int, request: PermitRequest) -> ObjectiveEntry:
    """Return the entry of a request in the order by objective."""
    return ObjectiveEntry(request.objective_at, number, request)


@callback
def _end_entry(number: int, request: PermitRequest) -> EndEntry:
    """Return the entry of a request in the order by end."""
    return EndEntry(
        request.precedence, request.ends_at, request.objective_at, number, request
    )
