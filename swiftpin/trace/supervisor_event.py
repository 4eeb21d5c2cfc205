"""Trace event: something happened to a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class SupervisorEvent:
    """A process, named as target or instance, was started, killed, frozen or thawed.

    `at` is in monotonic seconds.
    """

    kind: Literal["killed", "frozen", "thawed", "started"]
    name: str
    at: float
