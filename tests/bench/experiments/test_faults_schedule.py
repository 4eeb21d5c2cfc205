"""Tests of the random schedules of faults."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.faults_episode import (
    FreezeProcess,
    KillProcess,
    LoseStoreAnswers,
    StoreHang,
    StoreOutage,
)
from swiftpin.bench.experiments.faults_schedule import FaultsSchedule
from swiftpin.bench.experiments.faults_scheduled import ScheduledEpisode

GATEWAYS = ("gw-1", "gw-2", "gw-3", "gw-4")
TARGETS = tuple(f"desk-{number}" for number in range(1, 9))
DURATION = 60.0
SEEDS = range(1, 21)


def schedule(seed: int) -> tuple[ScheduledEpisode, ...]:
    """Return the schedule of a seed."""
    return FaultsSchedule(
        seed, gateways=GATEWAYS, targets=TARGETS, desk="desk"
    ).episodes(DURATION)


def busy_times(
    episodes: tuple[ScheduledEpisode, ...],
) -> list[tuple[str, float, float]]:
    """Return from when to when each process is killed, frozen or faulty."""
    times = []
    for item in episodes:
        match item.episode:
            case KillProcess(name=name, restart_after=length):
                times.append((name, item.at, item.at + length))
            case FreezeProcess(name=name, length=length):
                times.append((name, item.at, item.at + length))
            case (
                StoreOutage(length=length)
                | StoreHang(length=length)
                | LoseStoreAnswers(length=length)
            ):
                times.append(("store", item.at, item.at + length))
            case _:
                continue
    return times


def test_a_seed_gives_one_schedule() -> None:
    """A run with violations can be repeated; other seeds try other things."""
    assert schedule(1) == schedule(1)
    assert schedule(1) != schedule(2)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_process_that_is_down_is_left_alone(seed: int) -> None:
    """A kill of a killed process, or a thaw of a started one, would do nothing."""
    times = busy_times(schedule(seed))
    for number, (name, _, end) in enumerate(times):
        later = [start for other, start, _ in times[number + 1 :] if other == name]
        assert all(start >= end for start in later)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_gateway_is_up_at_any_time(seed: int) -> None:
    """Callers need an entry."""
    times = [item for item in busy_times(schedule(seed)) if item[0] in GATEWAYS]
    for _, start, _ in times:
        down = [name for name, begin, end in times if begin <= start < end]
        assert len(down) < len(GATEWAYS)


def test_every_kind_of_episode_comes_and_some_come_together() -> None:
    """Twenty seeds try all that is listed, also two at once."""
    schedules = [schedule(seed) for seed in SEEDS]
    kinds = {type(item.episode).__name__ for items in schedules for item in items}
    assert kinds == {
        "KillProcess",
        "FreezeProcess",
        "StoreOutage",
        "StoreHang",
        "LoseStoreAnswers",
        "DropRequests",
        "DropAnswers",
        "CutAnswers",
        "CrashRequest",
    }
    times = [item.at for item in schedules[0]]
    assert len(set(times)) < len(times)
