"""Status of one instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRow:
    """What `status` shows of an instance.

    `state` is live or leaving as listed, `answer` ready, not ready or silent.
    `in_force` counts the accepted declarations of which the instance has the newest
    generation, `accepted` all; both None when the store or the instance is silent.
    """

    name: str
    zone: str
    state: str
    answer: str
    in_force: int | None
    accepted: int | None
    groups_held: int
