"""A wide group as a protocol that minicheck can check."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final

from minicheck import Protocol

from spec.times import GRANT_TTL, down, down_past_end
from spec.wide import rules
from spec.wide.first import AT_START, ENDED, First
from spec.wide.first_steps import Step, first_steps
from spec.wide.successor import NOT_STARTED
from spec.wide.successor_steps import successor_steps
from spec.wide.target import MAJORITY, NAMES, OWNERS, WideTarget
from spec.wide.weakness import WideWeakness
from spec.wide.world import WideWorld

U: Final = OWNERS
V: Final = OWNERS + 1


def wide_group(name: str, weakness: WideWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=WideWorld._fields,
        initial=_initial(),
        transitions=lambda state: [
            (label, _tidy(after))
            for label, after in _steps(weakness, WideWorld._make(state))
        ],
        invariants={"one_owner": one_owner},
    )


def one_owner(state: Mapping[str, Any]) -> bool:
    """Return whether at most one target would execute for the slice."""
    return _owners(state["targets"]) <= 1


def _owners(targets: tuple[WideTarget, ...]) -> int:
    """Return how many targets would execute for the slice."""
    return sum(target.held > 0 for target in targets)


def _initial() -> WideWorld:
    """Return the state in which the first holder has just granted the slice to T."""
    idle = WideTarget(0, 0, 0)
    owner = WideTarget(0, GRANT_TTL, 0)
    targets = (owner, *([idle] * (len(NAMES) - 1)))
    return WideWorld(targets=targets, first=AT_START, successor=NOT_STARTED)


def _steps(weakness: WideWeakness, world: WideWorld) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if _owners(world.targets) > 1:
        return
    yield "tick", _tick(world)
    yield from first_steps(world)
    yield from successor_steps(weakness, world)


def _tick(world: WideWorld) -> WideWorld:
    """Return the world one tick later."""
    successor = world.successor
    later = successor._replace(
        limit=down(successor.limit), wait=_wait_later(successor.wait)
    )
    return WideWorld(
        targets=tuple(map(_target_later, world.targets)),
        first=_first_later(world),
        successor=later,
    )


def _wait_later(wait: int) -> int:
    """Let a wait that has begun run down to 0."""
    return max(down_past_end(wait), 0)


def _target_later(target: WideTarget) -> WideTarget:
    """Let a grant run down; a slice whose grant has ended is gone."""
    if target.held <= 1:
        return WideTarget(target.fence, 0, 0)
    return target._replace(held=target.held - 1)


def _first_later(world: WideWorld) -> First:
    """Let the acknowledgements of fenced targets run down."""
    first = world.first
    one, two, three, four, five = (
        down(ack) if target.fence else ack
        for ack, target in zip(first.acks, world.targets, strict=True)
    )
    return first._replace(
        acks=(one, two, three, four, five), limit=down_past_end(first.limit)
    )


def _tidy(world: WideWorld) -> WideWorld:
    """Make states one that differ only by names or in what no rule asks for.

    A first holder without a majority of followers never gets one back. U and V are
    alike, so their order means nothing.
    """
    first = world.first
    if rules.majority(first) <= 0 and rules.fenced(world) >= MAJORITY:
        return world._replace(first=ENDED, targets=_sorted(world.targets))
    if _rank(world, U) <= _rank(world, V):
        return world
    acks = (*first.acks[:U], first.acks[V], first.acks[U])
    return world._replace(
        first=first._replace(acks=acks), targets=_sorted(world.targets)
    )


def _sorted(targets: tuple[WideTarget, ...]) -> tuple[WideTarget, ...]:
    """Return the targets with U and V in the order of their fences."""
    return (*targets[:U], *sorted(targets[U:]))


def _rank(world: WideWorld, index: int) -> tuple[int, int]:
    """Return what tells one witness from the other."""
    return (world.targets[index].fence, world.first.acks[index])
