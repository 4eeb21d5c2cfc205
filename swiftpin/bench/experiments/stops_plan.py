"""How much the experiment on planned stops does."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, kw_only=True, slots=True)
class StopsPlan:
    """How many gateways and targets are stopped, and for how long there is load.

    Times are in seconds; the load must outlast the stops.
    """

    gateways: int
    targets: int
    load: float


FULL_PLAN: Final = StopsPlan(gateways=9, targets=5, load=200.0)
QUICK_PLAN: Final = StopsPlan(gateways=2, targets=1, load=50.0)
