"""Tests of the retries of all instances together."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import pytest

from tests.router.retry_fleet import SLACK, Load, RetryFleet

SIZE = 8
LENGTH = 32.0
SHORT_WAITS = (0.002, 0.03)
Trouble = Callable[[RetryFleet], None]


def calm(fleet: RetryFleet) -> None:
    """Leave it at rejections."""


def restart_all(fleet: RetryFleet) -> None:
    """Kill all instances, twice."""
    for when in (5.5, 9.0):
        fleet.at(when, lambda: fleet.kill(1.0))


def kill_most(fleet: RetryFleet) -> None:
    """Kill most instances in series."""
    for number in range(6):
        fleet.at(5.0 + 2.2 * number, lambda: fleet.kill(0.6))


def restart_in_turn(fleet: RetryFleet) -> None:
    """Kill one instance after the other."""
    for number in range(24):
        fleet.at(4.0 + 0.8 * number, lambda: fleet.kill(1 / SIZE))


def cut_half(fleet: RetryFleet) -> None:
    """Cut half of the instances off for more than a window."""
    fleet.at(6.0, lambda: fleet.cut_off(0.5, 15.0))


def cut_again(fleet: RetryFleet) -> None:
    """Cut some instances off, time and again."""
    for number in range(8):
        fleet.at(3.0 + 3.0 * number, lambda: fleet.cut_off(0.4, 2.0))


def freeze_some(fleet: RetryFleet) -> None:
    """Let some instances stand still."""
    for when in (5.0, 11.0, 17.0):
        fleet.at(when, lambda: fleet.freeze(0.5, 4.0))


def add_many(fleet: RetryFleet) -> None:
    """Add as many instances again, one at a time."""
    for number in range(SIZE):
        fleet.at(5.0 + 0.7 * number, partial(fleet.start, SIZE + number))


def reload_settings(fleet: RetryFleet) -> None:
    """Read settings again and again, with little less slack every other time."""
    for number in range(12):
        slack = SLACK - number % 2
        fleet.at(4.0 + 2.0 * number, partial(fleet.reload, slack))


def everything(fleet: RetryFleet) -> None:
    """Do all of it at random times."""
    random = Random(fleet.load.rate)
    for trouble in (kill_most, cut_again, freeze_some, add_many, reload_settings):
        trouble(fleet)
    for _ in range(6):
        fleet.at(random.uniform(2.0, 28.0), lambda: fleet.kill(0.6))
        fleet.at(random.uniform(2.0, 28.0), lambda: fleet.cut_off(0.4, 6.0))


TROUBLES: tuple[Trouble, ...] = (
    calm,
    restart_all,
    kill_most,
    restart_in_turn,
    cut_half,
    cut_again,
    freeze_some,
    add_many,
    reload_settings,
    everything,
)


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda it: it.__name__)
def test_restarts_and_cuts_earn_the_fleet_no_retries(
    trouble: Trouble, rate: float
) -> None:
    """Failure: each process that started had the retries of a whole window again."""
    for seed in range(3):
        fleet = RetryFleet(SIZE, Load(rate=rate), seed)
        trouble(fleet)
        fleet.run(LENGTH)
        assert fleet.worst_excess() <= 0, f"seed {seed}"


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
def test_retries_that_waited_count_when_they_are_sent(rate: float) -> None:
    """Failure: retries of two windows arrived in one, having waited for permits."""
    fleet = RetryFleet(SIZE, Load(rate=rate, rejected=0.0), 1)
    for when in (3.0, 13.0):
        fleet.at(when, lambda: setattr(fleet.load, "rejected", 0.9))
        fleet.at(when + 2.0, lambda: setattr(fleet.load, "rejected", 0.0))
    fleet.at(2.0, lambda: setattr(fleet.load, "waits", (0.002, 2.5)))
    fleet.at(12.5, lambda: setattr(fleet.load, "waits", SHORT_WAITS))
    fleet.run(LENGTH)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("rate", [14.0, 129.0, 430.0])
def test_shorter_waits_bring_no_more_retries(rate: float) -> None:
    """Failure: retries that had waited arrived beside those of a whole window."""
    fleet = RetryFleet(SIZE, Load(rate=rate, waits=(2.0, 2.5)), 1)
    fleet.at(12.5, lambda: setattr(fleet.load, "waits", SHORT_WAITS))
    fleet.run(LENGTH)
    assert fleet.worst_excess() <= 0
