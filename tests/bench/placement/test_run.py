"""Tests of the experiment as a whole, at a small size."""

from __future__ import annotations

import orjson
import pytest

from swiftpin.bench.placement.balance import GOAL
from swiftpin.bench.placement.key_loads import make_key_loads
from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.bench.placement.report import PlacementReport
from swiftpin.bench.placement.run import run
from swiftpin.bench.placement.tables import tables

SMALL = PlacementOptions(
    sizes=(25,),
    changes=1,
    sweep_targets=40,
    sweep_group_sizes=(5, 40),
    timing_runs=1,
)


@pytest.fixture(scope="module")
def report() -> PlacementReport:
    """Return one small run."""
    return run(SMALL)


@pytest.mark.parametrize("targets", [25, 7_000])
def test_the_load_has_the_stated_total_and_hottest_key(targets: int) -> None:
    """Half a mean target for the hottest key, and all of it accounted for."""
    options = PlacementOptions(slices_per_target=1)
    loads = make_key_loads(targets, 0, options)
    assert loads.total == pytest.approx(targets * options.target_load)
    assert loads.loads[0] == pytest.approx(0.5 * options.target_load, rel=1e-3)
    assert loads.tail > 0.0


def test_a_change_of_hot_keys_keeps_the_other_keys() -> None:
    """Only the first 230 hashes differ between generations."""
    first, second = (make_key_loads(25, index, SMALL) for index in (0, 1))
    assert first.hashes[230:] == second.hashes[230:]
    assert set(first.hashes[:230]).isdisjoint(second.hashes[:230])


def test_the_same_seed_gives_the_same_events(report: PlacementReport) -> None:
    """Only times differ between runs."""
    again = run(SMALL)
    assert again.events == report.events
    assert again.group_sizes == report.group_sizes


def test_a_loss_moves_exactly_what_was_lost(report: PlacementReport) -> None:
    """The least possible, with groups and without."""
    rows = [
        row
        for row in report.events
        if row.event == "loss" and row.system.startswith("swiftpin")
    ]
    assert len(rows) == 4
    assert all(row.moves == row.moves_least for row in rows)


def test_one_group_reaches_the_goal_after_hot_keys_change(
    report: PlacementReport,
) -> None:
    """Without fixed groups nothing stands in the way of the goal."""
    rows = [
        row
        for row in report.events
        if row.system == "swiftpin, one group" and row.event == "hot keys change 1"
    ]
    assert len(rows) == 2
    assert all(row.peak_to_mean <= GOAL for row in rows)


def test_the_report_can_be_written(report: PlacementReport) -> None:
    """As JSON and as tables."""
    document = orjson.loads(orjson.dumps(report))
    assert len(document["events"]) == len(report.events)
    assert tables(report).count("\n") > len(report.events)
