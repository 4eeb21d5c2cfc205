"""How much the configuration experiment measures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigPlan:
    """Numbers of instances and of changes; times in seconds.

    `calm_changes` are made one after the other, `faulty_changes` likewise while an
    instance is paused, `race_changes` by racing operators.
    """

    sizes: tuple[int, ...]
    calm_changes: int
    faulty_changes: int
    race_changes: int
    settle: float
    rest: float


FULL_PLAN: Final = ConfigPlan(
    sizes=(9, 36, 100),
    calm_changes=20,
    faulty_changes=15,
    race_changes=1000,
    settle=5.0,
    rest=15.0,
)
QUICK_PLAN: Final = ConfigPlan(
    sizes=(9,),
    calm_changes=10,
    faulty_changes=5,
    race_changes=100,
    settle=3.0,
    rest=5.0,
)
