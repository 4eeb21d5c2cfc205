"""The placement experiment."""

from __future__ import annotations

from collections.abc import Iterator
import random
import time
from typing import Final

from swiftpin.bench.placement.baseline_rows import baseline_rows
from swiftpin.bench.placement.decision_costs import decision_costs
from swiftpin.bench.placement.fleet import Fleet
from swiftpin.bench.placement.group_sizes import group_size_rows
from swiftpin.bench.placement.key_loads import KeyLoads, make_key_loads
from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.bench.placement.report import EventRow, PlacementReport
from swiftpin.bench.placement.swiftpin_rows import SwiftpinRows

# The two loads. In the first the hottest key fits one target. The second keeps one
# exponent at every size, so that the hottest key outgrows any single target; beyond
# the limit it would need tens of targets, and there is nothing left to decide.
FITTING_LOAD: Final = "hottest key fits"
STEEP_LOAD: Final = "exponent 0.9"
STEEP_EXPONENT: Final = 0.9
STEEP_SIZE_LIMIT: Final = 250


def run(options: PlacementOptions) -> PlacementReport:
    """Run everything and return the results."""
    start = time.monotonic()
    events: list[EventRow] = []
    for targets in options.sizes:
        events.extend(_event_rows(targets, FITTING_LOAD, None, options))
        if targets <= STEEP_SIZE_LIMIT:
            events.extend(_event_rows(targets, STEEP_LOAD, STEEP_EXPONENT, options))
    decisions = [
        cost for targets in options.sizes for cost in decision_costs(targets, options)
    ]
    group_sizes = tuple(group_size_rows(options))
    return PlacementReport(
        options=options,
        events=tuple(events),
        decisions=tuple(decisions),
        group_sizes=group_sizes,
        seconds=time.monotonic() - start,
    )


def _event_rows(
    targets: int, name: str, exponent: float | None, options: PlacementOptions
) -> Iterator[EventRow]:
    """Yield the rows of all systems for one size and load."""
    generations: list[KeyLoads] = [
        make_key_loads(targets, generation, options, exponent)
        for generation in range(options.changes + 1)
    ]
    victim = f"t{random.Random(options.seed).randrange(targets)}"
    systems = (("swiftpin", options.group_size), ("swiftpin, one group", targets))
    for system, group_size in systems:
        fleet = Fleet(options, targets, group_size)
        yield from SwiftpinRows(system, name, fleet, generations, victim).run()
    names = [f"t{number}" for number in range(targets)]
    yield from baseline_rows(name, generations, names, victim)
