"""Events on the baselines."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from swiftpin.bench.placement.balance import peak_to_mean
from swiftpin.bench.placement.baseline import Baseline, KeyPlacement
from swiftpin.bench.placement.bounded_loads import BoundedLoads
from swiftpin.bench.placement.consistent_hashing import ConsistentHashing
from swiftpin.bench.placement.key_loads import KeyLoads
from swiftpin.bench.placement.modulo import Modulo
from swiftpin.bench.placement.rendezvous import Rendezvous
from swiftpin.bench.placement.report import EventRow

BASELINES: Final[tuple[Baseline, ...]] = (
    ConsistentHashing(),
    Rendezvous(),
    BoundedLoads(),
    Modulo(),
)


def baseline_rows(
    load_name: str, generations: Sequence[KeyLoads], targets: Sequence[str], victim: str
) -> Iterator[EventRow]:
    """Yield a row for each baseline and event."""
    for baseline in BASELINES:
        yield from _rows(baseline, load_name, generations, targets, victim)


def _rows(
    baseline: Baseline,
    load_name: str,
    generations: Sequence[KeyLoads],
    targets: Sequence[str],
    victim: str,
) -> Iterator[EventRow]:
    """Yield the rows of one baseline."""
    first, *later = generations
    placement = baseline.place(first, targets)
    yield _row(baseline, load_name, "start", first, placement, 0.0, 0.0)
    before = placement
    for index, loads in enumerate(later, start=1):
        after = baseline.place(loads, targets)
        # Only keys that are in both loads can be compared: all but the hot ones.
        moved = _moved(before, after, first.hot)
        event = f"hot keys change {index}"
        yield _row(baseline, load_name, event, loads, after, moved, 0.0)
        before = after
    survivors = [target for target in targets if target != victim]
    after = baseline.place(first, survivors)
    least = _owned_share(placement, victim)
    moved = _moved(placement, after)
    yield _row(baseline, load_name, "loss", first, after, moved, least)
    grown = [*targets, f"t{len(targets)}"]
    after = baseline.place(first, grown)
    moved = _moved(placement, after)
    least = 1.0 / len(grown)
    yield _row(baseline, load_name, "added", first, after, moved, least)


def _row(
    baseline: Baseline,
    load_name: str,
    event: str,
    loads: KeyLoads,
    placement: KeyPlacement,
    keys_moved: float,
    keys_least: float,
) -> EventRow:
    """Return the row of one event."""
    mean = loads.total / len(placement.load_by_target)
    return EventRow(
        targets=len(placement.names),
        load=load_name,
        system=baseline.name,
        event=event,
        peak_to_mean=peak_to_mean(placement.load_by_target),
        key_floor=loads.loads[0] / mean,
        group_floor=None,
        keys_moved=keys_moved,
        keys_least=keys_least,
    )


def _moved(before: KeyPlacement, after: KeyPlacement, skip: int = 0) -> float:
    """Return the share of keys whose owner changed, `skip` hottest ones left out."""
    pairs = list(zip(before.owners, after.owners, strict=True))[skip:]
    changed = sum(before.names[old] != after.names[new] for old, new in pairs)
    return changed / len(pairs)


def _owned_share(placement: KeyPlacement, target: str) -> float:
    """Return the share of keys that the target owns."""
    index = placement.names.index(target)
    return placement.owners.count(index) / len(placement.owners)
