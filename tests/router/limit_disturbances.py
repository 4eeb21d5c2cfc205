"""Disturbances of a fleet whose targets name rate limits."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
import math
from random import Random
from typing import Final

from tests.router.limit_fleet import LimitFleet
from tests.router.limited_target import LimitedTarget

Disturbance = Callable[[LimitFleet], None]

LIMIT_CHOICES: Final = (0.2, 0.5, 1.8, 5.0, 20.0, 100.0, math.inf)


def none(fleet: LimitFleet) -> None:
    """Disturb nothing."""


def kill_holders(fleet: LimitFleet) -> None:
    """Kill the lease holder, twice."""
    for when in (12.0, 15.3):
        fleet.schedule(when, fleet.kill_holder)


def kill_most(fleet: LimitFleet) -> None:
    """Kill most instances several times in a row."""
    for number in range(6):
        fleet.schedule(9.0 + 2.2 * number, lambda: fleet.kill(0.6))


def restart_in_turn(fleet: LimitFleet) -> None:
    """Kill one instance after the other."""
    for number in range(16):
        fleet.schedule(8.5 + 0.8 * number, lambda: fleet.kill(1 / fleet.size))


def stop_in_turn(fleet: LimitFleet) -> None:
    """Stop one instance after the other as planned."""
    for number in range(8):
        fleet.schedule(9.0 + 1.5 * number, partial(fleet.stop, f"i{number}"))


def isolate_half(fleet: LimitFleet) -> None:
    """Partition half of the instances from the others and from the store."""
    fleet.schedule(10.0, lambda: fleet.isolate(0.5, 6.0))


def isolate_repeatedly(fleet: LimitFleet) -> None:
    """Partition some instances repeatedly."""
    for number in range(6):
        fleet.schedule(9.0 + 3.0 * number, lambda: fleet.isolate(0.4, 2.0))


def separate_repeatedly(fleet: LimitFleet) -> None:
    """Split the instances into two groups that both reach the store."""
    for number in range(6):
        fleet.schedule(9.0 + 3.0 * number, lambda: fleet.separate(0.5, 2.2))


def separate_briefly(fleet: LimitFleet) -> None:
    """Split the instances for less than the time after which links are closed."""
    for number in range(14):
        fleet.schedule(9.0 + 1.2 * number, lambda: fleet.separate(0.5, 0.9))


def freeze_some(fleet: LimitFleet) -> None:
    """Freeze some processes repeatedly."""
    for when in (10.0, 14.0, 18.0):
        fleet.schedule(when, lambda: fleet.freeze(0.4, 3.0))


def change_limits(fleet: LimitFleet) -> None:
    """Raise, lower and withdraw limits at random times."""
    random = Random(fleet.seed)

    def change(target: LimitedTarget) -> None:
        fleet.name_limit(target, random.choice(LIMIT_CHOICES))

    for target in fleet.targets_by_name.values():
        for _ in range(3):
            fleet.schedule(random.uniform(9.0, 22.0), partial(change, target))


def all_disturbances(fleet: LimitFleet) -> None:
    """Combine disturbances at random times with changes of the limits."""
    change_limits(fleet)
    random = Random(fleet.seed + 1)
    choices: tuple[Callable[[], None], ...] = (
        lambda: fleet.kill(0.3),
        fleet.kill_holder,
        lambda: fleet.isolate(0.4, 3.0),
        lambda: fleet.isolate(0.2, 0.8),
        lambda: fleet.separate(0.5, 1.5),
        lambda: fleet.separate(0.3, 4.0),
        lambda: fleet.freeze(0.3, 2.0),
        lambda: fleet.freeze(0.3, 0.5),
        lambda: fleet.stop(f"i{random.randrange(fleet.size)}"),
    )
    for _ in range(8):
        fleet.schedule(random.uniform(8.0, 24.0), random.choice(choices))


DISTURBANCES: Final[tuple[Disturbance, ...]] = (
    none,
    kill_holders,
    kill_most,
    restart_in_turn,
    stop_in_turn,
    isolate_half,
    isolate_repeatedly,
    separate_repeatedly,
    separate_briefly,
    freeze_some,
    change_limits,
    all_disturbances,
)
