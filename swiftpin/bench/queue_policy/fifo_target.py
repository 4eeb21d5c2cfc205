"""A target behind a plain bounded queue, first come first served."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

from swiftpin.bench.queue_policy.offered_request import OfferedRequest


def run_fifo(
    requests: list[OfferedRequest], *, slots: int, length: int, skip_expired: bool
) -> dict[int, float]:
    """Return when each request ended that was not refused, by its number.

    Nothing is refused early; unless `skip_expired`, work is also done whose caller
    has given up.
    """
    ended_at_by_number: dict[int, float] = {}
    waiting: deque[OfferedRequest] = deque()
    ends: list[float] = []

    def start(request: OfferedRequest, now: float) -> None:
        """Give a slot."""
        ended_at_by_number[request.number] = now + request.work
        heappush(ends, now + request.work)

    def work_off(until: float) -> None:
        """Let slots become free up to a time."""
        while ends and ends[0] <= until:
            now = heappop(ends)
            while skip_expired and waiting and waiting[0].deadline <= now:
                waiting.popleft()
            if waiting:
                start(waiting.popleft(), now)

    for request in requests:
        work_off(request.at)
        if len(ends) < slots:
            start(request, request.at)
        elif len(waiting) < length:
            waiting.append(request)
    work_off(float("inf"))
    return ended_at_by_number
