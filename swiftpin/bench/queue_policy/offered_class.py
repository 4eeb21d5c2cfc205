"""A class of requests that is offered to a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferedClass:
    """`share` of the requests; `service_time` and `timeout` in seconds."""

    name: str
    priority: int
    share: float
    service_time: float
    timeout: float
