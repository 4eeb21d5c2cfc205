"""Rules of the protocol for five targets, named as in ownership.md."""

from __future__ import annotations

from typing import Final

from spec.times import HOLDER_LIMIT
from spec.wide.first import First
from spec.wide.target import MAJORITY
from spec.wide.weakness import WideWeakness
from spec.wide.world import WideWorld

SLICE_TERMS_PER_LEASE: Final = 4


def majority(first: First) -> int:
    """Return how long a majority's acknowledgements still confirm the first holder."""
    return sorted(first.acks)[len(first.acks) // 2]


def first_lapsed(first: First) -> bool:
    """Return whether the first holder, known to serve the slice, may move it."""
    return first.limit <= 0 and majority(first) >= HOLDER_LIMIT + first.limit


def fenced(world: WideWorld) -> int:
    """Return how many targets the successor fenced."""
    return sum(target.fence for target in world.targets)


def confirmed(world: WideWorld) -> bool:
    """Return whether the successor may grant, renew and send."""
    return fenced(world) >= MAJORITY


def predecessors_lapsed(world: WideWorld, weakness: WideWeakness) -> bool:
    """Return whether nothing that the first holder granted can be in force."""
    return weakness.no_wait or world.successor.wait <= 0


def serve(world: WideWorld, weakness: WideWeakness) -> bool:
    """Return whether nobody but the owner can hold the slice."""
    successor = world.successor
    if successor.served or predecessors_lapsed(world, weakness):
        return True
    strays = sum(successor.reports) - successor.reports[successor.owner]
    return fenced(world) == len(world.targets) and not strays


def lapsed(world: WideWorld, weakness: WideWeakness) -> bool:
    """Return whether the slice of the owner, which seems lost, may move.

    That the owner's own grants have ended is not enough: an earlier holder may have
    moved the slice to a target that this holder has not fenced. The lost target's
    acknowledgements are older than the end of its grants, so they do not count.
    """
    successor = world.successor
    owner = world.targets[successor.owner]
    if successor.limit > 0 or fenced(world) - owner.fence < MAJORITY:
        return False
    if not owner.fence:
        return predecessors_lapsed(world, weakness)
    return weakness.unserved_lapses or serve(world, weakness)
