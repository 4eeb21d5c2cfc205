"""Events on swiftpin's placement."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from swiftpin.bench.placement.balance import (
    group_floor,
    peak_to_mean,
    summed,
)
from swiftpin.bench.placement.fleet import Fleet
from swiftpin.bench.placement.fleet_events import adapt, declare, lose, rebalance
from swiftpin.bench.placement.key_loads import KeyLoads
from swiftpin.bench.placement.least_moves import least_moves
from swiftpin.bench.placement.move_count import MoveCount
from swiftpin.bench.placement.report import EventRow


class SwiftpinRows:
    """Runs the events on one fleet and makes a row of each."""

    def __init__(
        self,
        system: str,
        load_name: str,
        fleet: Fleet,
        generations: Sequence[KeyLoads],
        victim: str,
    ) -> None:
        self._system = system
        self._load_name = load_name
        self._fleet = fleet
        self._generations = generations
        self._victim = victim
        self._now = 0.0

    def run(self) -> Iterator[EventRow]:
        """Yield the rows; every event but the changes starts from the first state."""
        fleet, first = self._fleet, self._generations[0]
        fleet.set_loads(first)
        yield self._row(fleet, "start, by number", first, MoveCount(), 0, 0)
        yield from self._adapted(fleet, "start, adapted", first)
        settled = fleet.copy()
        yield from self._losses(settled)
        yield from self._declarations(settled)
        for index, loads in enumerate(self._generations[1:], start=1):
            self._now += fleet.options.hot_period / fleet.options.decisions
            fleet.set_loads(loads)
            event = f"hot keys change {index}"
            yield self._row(fleet, f"{event}, before moves", loads, MoveCount(), 0, 0)
            yield from self._adapted(fleet, event, loads)

    def _adapted(self, fleet: Fleet, event: str, loads: KeyLoads) -> Iterator[EventRow]:
        """Yield a row after the first decision and one after all of them."""
        trial = fleet.copy()
        trial.set_loads(loads)
        for group in range(trial.groups):
            trial.split_hot_keys(group, self._now)
        least = _least_moves(trial, loads.total / len(trial.specs_by_id))
        count = adapt(fleet, self._now)
        yield self._row(fleet, f"{event}, first decision", loads, count, least, 0)
        for _ in range(fleet.options.decisions - 1):
            self._now += fleet.options.hot_period / fleet.options.decisions
            count += adapt(fleet, self._now)
        yield self._row(fleet, event, loads, count, least, 0)

    def _losses(self, settled: Fleet) -> Iterator[EventRow]:
        """Yield the rows of losses of one target and of an availability zone."""
        zone = settled.specs_by_id[self._victim].zone
        rack = [spec.id for spec in settled.specs_by_id.values() if spec.zone == zone]
        for event, lost in (("loss", [self._victim]), ("loss of a zone", rack)):
            fleet = settled.copy()
            first = self._generations[0]
            fleet.set_loads(first)
            loads = fleet.unit_loads_by_target()
            owned = sum(len(loads[target]) for target in lost)
            count = lose(fleet, lost, self._now)
            yield self._row(fleet, event, first, count, owned, count.slices)
            more = rebalance(fleet, self._now)
            name = f"{event}, then rebalanced"
            yield self._row(fleet, name, first, count + more, owned, count.slices)

    def _declarations(self, settled: Fleet) -> Iterator[EventRow]:
        """Yield the rows of a target added and one removed by declaration."""
        first = self._generations[0]
        number = len(settled.specs_by_id)
        fleet = settled.copy()
        fleet.set_loads(first)
        least = fleet.slices // (number + 1)
        count = declare(fleet, added=number, removed=None, now=self._now)
        yield self._row(fleet, "added", first, count, least, least)
        more = rebalance(fleet, self._now)
        yield self._row(
            fleet, "added, then rebalanced", first, count + more, least, least
        )
        fleet = settled.copy()
        fleet.set_loads(first)
        least = len(fleet.unit_loads_by_target()[self._victim])
        count = declare(fleet, added=None, removed=self._victim, now=self._now)
        yield self._row(fleet, "removed", first, count, least, least)
        more = rebalance(fleet, self._now)
        name = "removed, then rebalanced"
        yield self._row(fleet, name, first, count + more, least, least)

    def _row(
        self,
        fleet: Fleet,
        event: str,
        loads: KeyLoads,
        count: MoveCount,
        moves_least: int,
        slices_least: int,
    ) -> EventRow:
        """Return the row of one event."""
        unit_loads = fleet.unit_loads_by_target()
        mean = loads.total / len(unit_loads)
        live = {
            group: len(members - fleet.lost)
            for group, members in fleet.members_by_group.items()
        }
        return EventRow(
            targets=len(fleet.specs_by_id),
            load=self._load_name,
            system=self._system,
            event=event,
            peak_to_mean=peak_to_mean(summed(unit_loads)),
            key_floor=loads.loads[0] / mean,
            group_floor=group_floor(fleet.unit_loads_by_group(), live),
            keys_moved=count.slices / fleet.slices,
            keys_least=slices_least / fleet.slices,
            moves=count.moves,
            moves_least=moves_least,
            merges=count.merges,
            splits=count.splits,
        )


def _least_moves(fleet: Fleet, mean: float) -> int:
    """Return the least moves of all groups, within their fixed targets."""
    units_by_target = fleet.unit_loads_by_target()
    return sum(
        least_moves({target: units_by_target[target] for target in members}, mean)
        for members in fleet.members_by_group.values()
    )
