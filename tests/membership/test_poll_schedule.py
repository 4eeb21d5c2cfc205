"""Tests of the schedule of polls."""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.poll_schedule import PollSchedule

SETTINGS = NewsSettings(silence_limit=15.0, poll_interval=10.0, polls_per_second=20.0)


def make_schedule(fleet_size: int, seed: int = 1) -> PollSchedule:
    """Return the schedule of one instance of a fleet."""
    return PollSchedule(
        settings=SETTINGS, random=Random(seed), fleet_size=lambda: fleet_size
    )


def test_no_poll_while_somebody_hears_from_the_store() -> None:
    """A recent contact of anybody is enough."""
    schedule = make_schedule(9)
    assert not any(schedule.is_due(14.0, now) for now in range(1000))


@pytest.mark.parametrize("age", [None, 16.0])
def test_poll_within_an_interval_of_silence(age: float | None) -> None:
    """Silence leads to a poll, once, then to one an interval or so."""
    schedule = make_schedule(9)
    due = next(now for now in range(100) if schedule.is_due(age, now))
    assert due <= SETTINGS.poll_interval
    schedule.note_poll(due)
    assert not schedule.is_due(age, due + 1)
    assert schedule.is_due(age, due + 2 * SETTINGS.poll_interval)


def test_large_fleet_does_not_poll_in_a_burst() -> None:
    """The store is overrun when it comes back after an outage.

    The contact of every instance is old at the same moment; each would list the
    store at once. The polls of 7,000 instances are spread to about the set rate.
    """
    schedules = [make_schedule(7000, seed) for seed in range(7000)]
    for schedule in schedules:
        schedule.is_due(16.0, 0.0)
    due = sum(schedule.is_due(17.0, 10.0) for schedule in schedules)
    assert due < 2 * 10.0 * SETTINGS.polls_per_second
