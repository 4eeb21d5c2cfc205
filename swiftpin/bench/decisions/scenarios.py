"""Loads that are played, by name."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from swiftpin.bench.decisions.scenario import (
    Burst,
    ColdReturn,
    HotKey,
    LeavingTargets,
    RequestSort,
    Scenario,
    ServiceShape,
    SharedMachines,
    SheddingTargets,
    SlowTargets,
)

SHORT_REQUESTS: Final = (
    RequestSort(
        name="read",
        service="keyed",
        rate=300.0,
        work=0.06,
        spread=0.5,
        tail=0.01,
        tail_factor=5.0,
        priority=2,
        objective=0.2,
        deadline=0.8,
    ),
    RequestSort(
        name="command",
        service="free",
        rate=150.0,
        work=0.078,
        spread=0.8,
        tail=0.01,
        tail_factor=3.0,
        priority=1,
        objective=0.25,
        deadline=1.0,
        worth=2.0,
        late_worth=1.0,
    ),
    RequestSort(
        name="alert",
        service="keyed",
        rate=30.0,
        work=0.042,
        spread=0.5,
        priority=0,
        objective=0.15,
        deadline=0.6,
        worth=3.0,
        late_worth=1.5,
    ),
)
"""Objectives of three times the work, callers that come back once."""

LONG_REQUESTS: Final = (
    RequestSort(
        name="lookup",
        service="keyed",
        rate=87.0,
        work=0.16,
        spread=0.5,
        tail=0.01,
        tail_factor=5.0,
        priority=1,
        objective=0.5,
        deadline=2.0,
        late_worth=0.3,
    ),
    RequestSort(
        name="booking",
        service="keyed",
        rate=42.0,
        work=0.21,
        spread=0.5,
        priority=0,
        objective=0.6,
        deadline=2.5,
        worth=2.0,
        late_worth=0.6,
    ),
)

SHORT_SERVICES: Final = (
    ServiceShape(
        name="keyed",
        speeds=(0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7),
        is_keyed=True,
    ),
    ServiceShape(name="free", speeds=(0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0)),
)

LONG_SERVICES: Final = (
    ServiceShape(name="keyed", speeds=(0.8, 1.0, 1.2, 1.0) * 5, slots=2, is_keyed=True),
)

SECONDS: Final = 16.0

CALM: Final = Scenario(
    name="calm", seconds=SECONDS, sorts=SHORT_REQUESTS, services=SHORT_SERVICES
)
HOT_KEY: Final = replace(
    CALM,
    name="hot-key",
    troubles=(HotKey(at=5.0, seconds=5.0, share=0.4, service="keyed"),),
)
BURST: Final = replace(
    CALM, name="burst", troubles=(Burst(at=5.0, seconds=3.0, factor=2.2),)
)
BURST_AND_HOT_KEY: Final = replace(
    CALM,
    name="burst-and-hot-key",
    troubles=(
        Burst(at=5.0, seconds=3.0, factor=1.6),
        HotKey(at=6.0, seconds=4.0, share=0.35, service="keyed"),
    ),
)
SLOW: Final = replace(
    CALM,
    name="slow",
    troubles=(
        SlowTargets(at=5.0, seconds=6.0, service="keyed", count=2, factor=5.0),
        SlowTargets(at=5.0, seconds=6.0, service="free", count=2, factor=5.0),
    ),
)
SHEDDING: Final = replace(
    CALM,
    name="shedding",
    troubles=(SheddingTargets(at=5.0, seconds=6.0, service="keyed", share=0.5),),
)
LONG_HOT_KEY: Final = Scenario(
    name="long-hot-key",
    seconds=20.0,
    sorts=LONG_REQUESTS,
    services=LONG_SERVICES,
    troubles=(HotKey(at=5.0, seconds=6.0, share=0.4, service="keyed"),),
)
LONG_BURST: Final = Scenario(
    name="long-burst",
    seconds=20.0,
    sorts=LONG_REQUESTS,
    services=LONG_SERVICES,
    troubles=(Burst(at=5.0, seconds=4.0, factor=2.0),),
)


def fleet(name: str, targets: int) -> Scenario:
    """Return a calm load that uses 0.7 of what slow and fast targets bear."""
    return Scenario(
        name=name,
        seconds=20.0,
        skew=1.5,
        sorts=(
            RequestSort(
                name="lookup",
                service="keyed",
                rate=4.33 * targets,
                work=0.19,
                spread=0.3,
                tail=0.01,
                tail_factor=5.0,
                priority=2,
                objective=0.8,
                deadline=3.0,
                timeout=1.5,
                late_worth=0.3,
            ),
            RequestSort(
                name="booking",
                service="keyed",
                rate=2.11 * targets,
                work=0.24,
                spread=0.3,
                tail=0.01,
                tail_factor=3.0,
                priority=1,
                objective=0.8,
                deadline=3.0,
                timeout=1.5,
                worth=2.0,
                late_worth=0.6,
            ),
        ),
        services=(
            ServiceShape(
                name="keyed",
                speeds=(0.7, 0.7, 1.6) * (targets // 3),
                slots=2,
                waiting=8,
                is_keyed=True,
            ),
        ),
    )


def after_trouble(calm: Scenario, targets: int) -> Scenario:
    """Return a load that is judged when everything is calm again.

    Hot keys, half of the targets replaced, a tenth gone, and many callers at once.
    """
    return replace(
        calm,
        name=f"{calm.name}-after-trouble",
        seconds=40.0,
        judged_from=28.0,
        troubles=(
            HotKey(at=4.0, seconds=5.0, share=0.13, service="keyed"),
            HotKey(at=9.0, seconds=5.0, share=0.13, service="keyed"),
            HotKey(at=5.0, seconds=5.0, share=0.24, service="keyed", count=200),
            HotKey(at=10.5, seconds=4.0, share=0.27, service="keyed", count=60),
            LeavingTargets(at=14.0, seconds=6.0, service="keyed", count=targets // 2),
            LeavingTargets(
                at=15.0,
                seconds=0.1,
                service="keyed",
                count=targets // 10,
                first=targets // 2,
                are_replaced=False,
            ),
            Burst(at=20.0, seconds=5.0, factor=1.4),
        ),
    )


def orders(name: str, targets: int, load: float) -> Scenario:
    """Return a load of orders and lookups on shared machines.

    Most of the work are orders. `load` is the part that is used of what the targets
    bear, were their machines their own.
    """
    slots = 4
    speeds = (0.7, 0.7, 1.6) * (targets // 3)
    lookups, booked = 0.4, 0.6
    work = lookups * 0.22 + booked * 0.29
    rate = load * slots * sum(speeds) / work
    return Scenario(
        name=name,
        seconds=24.0,
        skew=1.5,
        sorts=(
            RequestSort(
                name="lookup",
                service="keyed",
                rate=lookups * rate,
                work=0.22,
                spread=0.3,
                tail=0.01,
                tail_factor=3.0,
                priority=2,
                objective=1.0,
                deadline=4.0,
                timeout=2.0,
                late_worth=0.3,
            ),
            RequestSort(
                name="booking",
                service="keyed",
                rate=booked * rate,
                work=0.29,
                spread=0.3,
                tail=0.01,
                tail_factor=3.0,
                priority=1,
                objective=1.2,
                deadline=4.0,
                timeout=2.0,
                worth=2.0,
                late_worth=0.6,
            ),
        ),
        services=(
            ServiceShape(
                name="keyed",
                speeds=speeds,
                slots=slots,
                is_keyed=True,
                machines=SharedMachines(share=0.2, factor=3.0, seconds=0.4),
                cold_rate=4.7,
            ),
        ),
    )


def hot_keys(calm: Scenario, factor: float) -> Scenario:
    """Return a load with hot keys of several widths, and a crowd of callers."""
    return replace(
        calm,
        name=f"{calm.name}-hot",
        seconds=30.0,
        troubles=(
            HotKey(at=5.0, seconds=5.0, share=0.03, service="keyed"),
            HotKey(at=6.0, seconds=5.0, share=0.34, service="keyed", count=200),
            HotKey(at=12.0, seconds=4.0, share=0.32, service="keyed", count=60),
            Burst(at=12.0, seconds=2.5, factor=factor),
        ),
    )


def cold_zone(calm: Scenario, targets: int) -> Scenario:
    """Return a load of which a quarter of the targets is away and comes back cold."""
    return replace(
        calm,
        name=f"{calm.name}-cold-zone",
        troubles=(
            ColdReturn(at=8.0, seconds=2.0, service="keyed", count=targets // 4),
            Burst(at=9.5, seconds=5.0, factor=1.3),
        ),
    )


FLEET: Final = fleet("fleet", 30)
ORDERS: Final = orders("orders", 24, 0.55)
LARGE_FLEET: Final = fleet("large-fleet", 180)

SCENARIOS_BY_NAME: Final = {
    scenario.name: scenario
    for scenario in (
        CALM,
        HOT_KEY,
        BURST,
        BURST_AND_HOT_KEY,
        SLOW,
        SHEDDING,
        LONG_HOT_KEY,
        LONG_BURST,
        FLEET,
        after_trouble(FLEET, 30),
        LARGE_FLEET,
        after_trouble(LARGE_FLEET, 180),
        ORDERS,
        hot_keys(ORDERS, 1.7),
        cold_zone(ORDERS, 24),
    )
}
