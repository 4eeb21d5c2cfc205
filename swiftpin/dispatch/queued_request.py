"""A request as a target's queue sees it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class QueuedRequest:
    """What the queue must know to order a request.

    `caller` identifies who sent it, for fairness between callers. A lower
    `priority` goes first. `deadline` is in monotonic seconds. An `isolated`
    request runs only while nothing else is in flight at the target. Nobody changes
    one; it is not frozen, since one is made for each request.
    """

    request_id: str
    caller: str
    class_name: str
    priority: int
    deadline: float
    slice_id: int | None = None
    isolated: bool = False
