"""Tests of the total requests that a fleet sends to targets with rate limits."""

from __future__ import annotations

from functools import partial
import math

import pytest

from swiftpin.permits.cold_targets import ColdTargets
from tests.fleet.virtual_time import run_in_virtual_time
from tests.router.limit_disturbances import (
    DISTURBANCES,
    Disturbance,
    all_disturbances,
    change_limits,
    isolate_half,
    isolate_repeatedly,
    kill_most,
    none,
    separate_briefly,
    separate_repeatedly,
)
from tests.router.limit_fleet import WARM_UP, LimitFleet, Load

INSTANCES = 8
NAMED_AT = WARM_UP + 2.0
END = 26.0
MIN_USED_SHARE = 0.8
"""Share of a limit that must be used while there is enough demand."""

COLD_RATE = 4.7
MAX_COLD_PER_SECOND = 15.05
COLD_DISTURBANCES = (
    none,
    kill_most,
    isolate_half,
    isolate_repeatedly,
    separate_repeatedly,
    separate_briefly,
)

LOADS = (
    (0.3, Load(rate=8.0)),
    (1.8, Load(rate=8.0, is_keyed=False)),
    (6.0, Load(rate=14.0, slots=3, entry_share=0.25)),
)
"""Limits, and loads beyond them."""

SEEDS_BY_DISTURBANCE: dict[Disturbance, int] = {all_disturbances: 3}


def run_fleet(
    limit: float,
    load: Load,
    seed: int,
    disturbance: Disturbance = none,
    *,
    targets: int = 3,
) -> LimitFleet:
    """Run a fleet whose targets all name a limit, and return it."""
    fleet = LimitFleet(INSTANCES, targets, load, seed)

    def name_limits() -> None:
        for target in fleet.targets_by_name.values():
            fleet.name_limit(target, limit)

    fleet.schedule(NAMED_AT, name_limits)
    disturbance(fleet)
    run_in_virtual_time(fleet.async_run(END))
    return fleet


@pytest.mark.parametrize(("limit", "load"), LOADS)
@pytest.mark.parametrize("disturbance", DISTURBANCES, ids=lambda it: it.__name__)
def test_disturbances_do_not_exceed_the_limits_of_targets(
    disturbance: Disturbance, limit: float, load: Load
) -> None:
    """Failure: issuers that granted permits independently exceeded a limit."""
    for seed in range(SEEDS_BY_DISTURBANCE.get(disturbance, 1)):
        fleet = run_fleet(limit, load, seed, disturbance)
        assert fleet.max_excess() <= 0, f"seed {seed}"
        assert fleet.max_authorized <= 1, f"seed {seed}"


@pytest.mark.parametrize(
    ("limit", "load"),
    [
        (0.2, Load(rate=8.0)),
        (1.8, Load(rate=8.0)),
        (1.8, Load(rate=8.0, entry_share=1 / INSTANCES)),
        (1.8, Load(rate=8.0, is_keyed=False)),
        (10.0, Load(rate=14.0)),
        (100.0, Load(rate=130.0, work=0.05, slots=8)),
    ],
)
def test_limits_are_used_while_there_is_demand(limit: float, load: Load) -> None:
    """Guards against rejecting callers that a target would have taken."""
    fleet = run_fleet(limit, load, 1, targets=1)
    assert fleet.used_share(NAMED_AT + 4.0, END) >= MIN_USED_SHARE
    assert fleet.max_excess() <= 0
    assert fleet.rejected_late == 0


def test_requests_go_to_targets_without_a_limit() -> None:
    """Guards against queues behind a limited target while others have room."""
    fleet = LimitFleet(INSTANCES, 4, Load(rate=4.0, is_keyed=False), 1)
    limited = fleet.targets_by_name["t0"]
    fleet.schedule(NAMED_AT, lambda: fleet.name_limit(limited, 0.5))
    run_in_virtual_time(fleet.async_run(END))
    assert fleet.max_excess() <= 0
    assert fleet.rejected == 0
    assert fleet.served_late == 0


def test_withdrawn_limit_no_longer_binds() -> None:
    """Guards against a limit that stays in effect after the target withdrew it."""
    fleet = LimitFleet(INSTANCES, 3, Load(rate=4.0), 1)
    for target in fleet.targets_by_name.values():
        fleet.schedule(NAMED_AT, partial(fleet.name_limit, target, 0.5))
        fleet.schedule(14.0, partial(fleet.name_limit, target, math.inf))
    run_in_virtual_time(fleet.async_run(END))
    arrivals = [
        it.at for target in fleet.targets_by_name.values() for it in target.arrivals
    ]
    assert sum(at > 19.0 for at in arrivals) >= 0.8 * 12.0 * (END - 19.0)


def test_long_connection_times_do_not_add_up() -> None:
    """Failure: permits that were used late arrived together with later ones."""
    load = Load(rate=14.0, slots=3, connect_range=(0.0, 2.0))
    for seed in range(3):
        assert run_fleet(6.0, load, seed, change_limits).max_excess() <= 0


@pytest.mark.parametrize("disturbance", COLD_DISTURBANCES, ids=lambda it: it.__name__)
def test_cold_targets_get_no_more_than_they_can_handle(
    disturbance: Disturbance,
) -> None:
    """Failure: issuers by two lists in use each granted a cold target its full rate."""
    cold = ColdTargets(
        remaining_by_id=dict.fromkeys(("t0", "t1", "t2"), 1.5 * END),
        rate=COLD_RATE,
        max_per_second=MAX_COLD_PER_SECOND,
    )
    load = Load(rate=60.0, slots=12, work=0.1, cold=cold)
    fleet = LimitFleet(INSTANCES, 3, load, 0)
    disturbance(fleet)
    run_in_virtual_time(fleet.async_run(END))
    assert fleet.max_per_second() <= MAX_COLD_PER_SECOND
