"""Steps of the successor of a wide group; a lost message is a step not taken."""

from __future__ import annotations

from collections.abc import Iterator

from spec.times import GRANT_TTL, NOT_BEGUN, PREDECESSOR_WAIT
from spec.wide import rules
from spec.wide.first_steps import Step
from spec.wide.successor import NO_REPORTS, Reports, Successor
from spec.wide.target import NAMES, OWNERS, WideTarget
from spec.wide.weakness import WideWeakness
from spec.wide.world import WideWorld, with_target


def successor_steps(weakness: WideWeakness, world: WideWorld) -> Iterator[Step]:
    """Do what the successor may do."""
    successor = world.successor
    if not successor.begun:
        begun = successor._replace(begun=1)
        yield "N takes over without the store", world._replace(successor=begun)
        return
    yield from _fences(world)
    if rules.confirmed(world):
        yield from _renewal(world)
        yield from _stray_revokes(world)
        yield from _grant(weakness, world)
        yield from _loss_moves(weakness, world)


def _put(reports: Reports, index: int, held: int) -> Reports:
    """Return the reports with one replaced."""
    first, second, third = reports
    if index == 0:
        return (held, second, third)
    if index == 1:
        return (first, held, third)
    return (first, second, held)


def _with_successor(world: WideWorld, successor: Successor) -> WideWorld:
    """Return the world with what the successor knows, less what no rule asks for."""
    if successor.wait == NOT_BEGUN and rules.confirmed(world):
        successor = successor._replace(wait=PREDECESSOR_WAIT)
    if successor.served:
        successor = successor._replace(reports=NO_REPORTS, wait=0)
        if not successor.moves_left:
            successor = successor._replace(limit=0)
    return world._replace(successor=successor)


def _fences(world: WideWorld) -> Iterator[Step]:
    """Fence a target and take over what it reports."""
    for index, target in enumerate(world.targets):
        after = world.successor
        if index < OWNERS and not after.served:
            after = _with_report(after, index, target)
        changed = with_target(world, index, target._replace(fence=1))
        after_world = _with_successor(changed, after)
        if after_world != world:
            yield f"N fences {NAMES[index]}", after_world


def _with_report(successor: Successor, index: int, target: WideTarget) -> Successor:
    """Return the successor after the report of a fenced target."""
    reports = _put(successor.reports, index, 1 if target.held else 0)
    successor = successor._replace(reports=reports)
    newer = target.held and target.slice_term > successor.slice_term
    if newer:
        successor = successor._replace(owner=index, slice_term=target.slice_term)
    if index == successor.owner and (newer or not target.fence):
        successor = successor._replace(limit=GRANT_TTL)
    return successor


def _renewal(world: WideWorld) -> Iterator[Step]:
    """Renew what the owner reported."""
    successor = world.successor
    owner = successor.owner
    target = world.targets[owner]
    if successor.served or not successor.reports[owner]:
        return
    after = successor._replace(limit=GRANT_TTL)
    if target.held:
        changed = with_target(world, owner, target._replace(held=GRANT_TTL))
        served = after._replace(served=1)
        yield f"N renews {NAMES[owner]}", _with_successor(changed, served)
    else:
        after = after._replace(reports=_put(after.reports, owner, 0))
        yield f"N misses the slice at {NAMES[owner]}", _with_successor(world, after)


def _stray_revokes(world: WideWorld) -> Iterator[Step]:
    """Revoke what another target than the owner reported."""
    successor = world.successor
    for index, held in enumerate(successor.reports):
        if not held or index == successor.owner:
            continue
        after = successor._replace(reports=_put(successor.reports, index, 0))
        changed = with_target(world, index, WideTarget(1, 0, 0))
        yield f"N revokes stray at {NAMES[index]}", _with_successor(changed, after)


def _grant(weakness: WideWeakness, world: WideWorld) -> Iterator[Step]:
    """Grant the slice to its owner, under a raised term if it was not reported."""
    successor = world.successor
    owner = successor.owner
    if not world.targets[owner].fence or not rules.serve(world, weakness):
        return
    term = successor.slice_term
    if not successor.served:
        term = max(term, rules.SLICE_TERMS_PER_LEASE)
    after = successor._replace(limit=GRANT_TTL, served=1, slice_term=term)
    changed = with_target(world, owner, WideTarget(1, GRANT_TTL, term))
    yield f"N grants {NAMES[owner]}", _with_successor(changed, after)


def _loss_moves(weakness: WideWeakness, world: WideWorld) -> Iterator[Step]:
    """Move the slice of a lost target to each other possible owner."""
    successor = world.successor
    if not successor.moves_left or not rules.lapsed(world, weakness):
        return
    term = max(successor.slice_term + 1, rules.SLICE_TERMS_PER_LEASE)
    lost = successor.owner
    for index in range(OWNERS):
        if index != lost:
            after = successor._replace(
                owner=index, slice_term=term, served=1, moves_left=0
            )
            label = f"N moves {NAMES[lost]} to {NAMES[index]} as lost"
            yield label, _with_successor(world, after)
