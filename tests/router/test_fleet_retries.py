"""Tests of the total retries of a fleet."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import pytest

from tests.router.retry_fleet import SLACK, Load, RetryFleet

INSTANCES = 8
DURATION = 32.0
SHORT_WAITS = (0.002, 0.03)
Disturbance = Callable[[RetryFleet], None]


def no_disturbance(fleet: RetryFleet) -> None:
    """Add nothing to the rejections by targets."""


def restart_all(fleet: RetryFleet) -> None:
    """Kill all instances, twice."""
    for when in (5.5, 9.0):
        fleet.schedule(when, lambda: fleet.kill(1.0))


def kill_most(fleet: RetryFleet) -> None:
    """Kill most instances several times in a row."""
    for number in range(6):
        fleet.schedule(5.0 + 2.2 * number, lambda: fleet.kill(0.6))


def restart_in_turn(fleet: RetryFleet) -> None:
    """Kill one instance after the other."""
    for number in range(24):
        fleet.schedule(4.0 + 0.8 * number, lambda: fleet.kill(1 / INSTANCES))


def isolate_half(fleet: RetryFleet) -> None:
    """Partition half of the instances for longer than a window."""
    fleet.schedule(6.0, lambda: fleet.isolate(0.5, 15.0))


def isolate_repeatedly(fleet: RetryFleet) -> None:
    """Partition some instances repeatedly."""
    for number in range(8):
        fleet.schedule(3.0 + 3.0 * number, lambda: fleet.isolate(0.4, 2.0))


def freeze_some(fleet: RetryFleet) -> None:
    """Freeze some instances repeatedly."""
    for when in (5.0, 11.0, 17.0):
        fleet.schedule(when, lambda: fleet.freeze(0.5, 4.0))


def double_instances(fleet: RetryFleet) -> None:
    """Double the number of instances, one at a time."""
    for number in range(INSTANCES):
        fleet.schedule(5.0 + 0.7 * number, partial(fleet.start, INSTANCES + number))


def reload_settings(fleet: RetryFleet) -> None:
    """Reload the settings repeatedly, with slightly less slack every other time."""
    for number in range(12):
        slack = SLACK - number % 2
        fleet.schedule(4.0 + 2.0 * number, partial(fleet.reload, slack))


def all_disturbances(fleet: RetryFleet) -> None:
    """Combine the disturbances and add kills and partitions at random times."""
    random = Random(fleet.load.rate)
    for disturbance in (
        kill_most,
        isolate_repeatedly,
        freeze_some,
        double_instances,
        reload_settings,
    ):
        disturbance(fleet)
    for _ in range(6):
        fleet.schedule(random.uniform(2.0, 28.0), lambda: fleet.kill(0.6))
        fleet.schedule(random.uniform(2.0, 28.0), lambda: fleet.isolate(0.4, 6.0))


DISTURBANCES: tuple[Disturbance, ...] = (
    no_disturbance,
    restart_all,
    kill_most,
    restart_in_turn,
    isolate_half,
    isolate_repeatedly,
    freeze_some,
    double_instances,
    reload_settings,
    all_disturbances,
)


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
@pytest.mark.parametrize("disturbance", DISTURBANCES, ids=lambda it: it.__name__)
def test_disturbances_do_not_raise_the_retries_of_the_fleet(
    disturbance: Disturbance, rate: float
) -> None:
    """Failure: each restarted process had the retries of a full window again."""
    for seed in range(3):
        fleet = RetryFleet(INSTANCES, Load(rate=rate), seed)
        disturbance(fleet)
        fleet.run(DURATION)
        assert fleet.max_excess() <= 0, f"seed {seed}"


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
def test_retries_that_waited_count_when_they_are_sent(rate: float) -> None:
    """Failure: retries of two windows were sent in one after waiting for permits."""
    fleet = RetryFleet(INSTANCES, Load(rate=rate, rejected_share=0.0), 1)
    for when in (3.0, 13.0):
        fleet.schedule(when, lambda: setattr(fleet.load, "rejected_share", 0.9))
        fleet.schedule(when + 2.0, lambda: setattr(fleet.load, "rejected_share", 0.0))
    fleet.schedule(2.0, lambda: setattr(fleet.load, "permit_wait_range", (0.002, 2.5)))
    fleet.schedule(12.5, lambda: setattr(fleet.load, "permit_wait_range", SHORT_WAITS))
    fleet.run(DURATION)
    assert fleet.max_excess() <= 0


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
def test_shorter_waits_bring_no_more_retries(rate: float) -> None:
    """Failure: retries that had waited were sent in addition to those of a window."""
    fleet = RetryFleet(INSTANCES, Load(rate=rate, permit_wait_range=(2.0, 2.5)), 1)
    fleet.schedule(12.5, lambda: setattr(fleet.load, "permit_wait_range", SHORT_WAITS))
    fleet.run(DURATION)
    assert fleet.max_excess() <= 0
