"""Tests of the failover experiment's scenarios."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.fault_action import BeginStoreOutage, EndStoreOutage
from swiftpin.bench.experiments.fault_scenario import FaultScenario
from swiftpin.bench.experiments.fault_scenarios import failover_scenarios


def outage_of(scenario: FaultScenario) -> float | None:
    """Return the seconds of the scenario's store outage, None without one."""
    times_by_action = {type(step.action): step.at for step in scenario.steps}
    if BeginStoreOutage not in times_by_action:
        return None
    return times_by_action[EndStoreOutage] - times_by_action[BeginStoreOutage]


@pytest.mark.parametrize(("quick", "outage"), [(False, 60.0), (True, 20.0)])
def test_outages_last_as_stated(quick: bool, outage: float) -> None:
    """Each outage has an end, a minute later unless the run is quick."""
    outages = [outage_of(item) for item in failover_scenarios(quick=quick)]
    assert [item for item in outages if item is not None] == [outage] * 3


def test_steps_are_in_order() -> None:
    """The injector carries the steps out one after another."""
    for scenario in failover_scenarios(quick=False):
        times = [step.at for step in scenario.steps]
        assert times == sorted(times)
        assert times[0] == 0.0
        assert scenario.duration > times[-1]


def test_names_are_unique() -> None:
    """Each scenario has a directory of its own."""
    names = [item.name for item in failover_scenarios(quick=False)]
    assert len(set(names)) == len(names) == 7
