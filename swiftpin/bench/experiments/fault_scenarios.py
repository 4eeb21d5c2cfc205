"""The scenarios of the failover experiment."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.experiments.fault_action import (
    BeginStoreOutage,
    EndStoreOutage,
    FaultAction,
    FreezeGateway,
    FreezeTarget,
    KillGateway,
    KillTarget,
    ThawGateway,
    ThawTarget,
    UnlistGateway,
)
from swiftpin.bench.experiments.fault_scenario import FaultScenario
from swiftpin.bench.experiments.fault_step import FaultStep

FREEZE: Final = 10.0
OUTAGE: Final = 60.0
OUTAGE_QUICK: Final = 20.0
LOSS_IN_OUTAGE: Final = 5.0
"""Seconds into a store outage at which something else is lost."""
UNLIST_DELAY: Final = 3.0
RECOVERY: Final = 10.0
RECOVERY_QUICK: Final = 6.0


def _scenario(
    name: str, recovery: float, *steps: tuple[float, FaultAction]
) -> FaultScenario:
    """Return a scenario of steps written as pairs of time and action."""
    return FaultScenario(
        name=name,
        steps=tuple(FaultStep(at=at, action=action) for at, action in steps),
        recovery=recovery,
    )


def failover_scenarios(*, quick: bool) -> tuple[FaultScenario, ...]:
    """Return the scenarios; quick ones have shorter outages and recoveries."""
    outage = OUTAGE_QUICK if quick else OUTAGE
    recovery = RECOVERY_QUICK if quick else RECOVERY
    return (
        _scenario("kill target", recovery, (0.0, KillTarget())),
        _scenario(
            "freeze target", recovery, (0.0, FreezeTarget()), (FREEZE, ThawTarget())
        ),
        _scenario(
            "kill gateway",
            recovery,
            (0.0, KillGateway()),
            (UNLIST_DELAY, UnlistGateway()),
        ),
        _scenario(
            "freeze gateway", recovery, (0.0, FreezeGateway()), (FREEZE, ThawGateway())
        ),
        _scenario(
            "store outage",
            recovery,
            (0.0, BeginStoreOutage()),
            (outage, EndStoreOutage()),
        ),
        _scenario(
            "store outage and target loss",
            recovery,
            (0.0, BeginStoreOutage()),
            (LOSS_IN_OUTAGE, KillTarget()),
            (outage, EndStoreOutage()),
        ),
        _scenario(
            "store outage and gateway loss",
            recovery,
            (0.0, BeginStoreOutage()),
            (LOSS_IN_OUTAGE, KillGateway()),
            (LOSS_IN_OUTAGE + UNLIST_DELAY, UnlistGateway()),
            (outage, EndStoreOutage()),
        ),
    )
