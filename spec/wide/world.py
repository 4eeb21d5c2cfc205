"""A state of a wide group."""

from __future__ import annotations

from typing import NamedTuple

from spec.wide.first import First
from spec.wide.successor import Successor
from spec.wide.target import WideTarget


class WideWorld(NamedTuple):
    """The store is away, so the record that N knows still names T."""

    targets: tuple[WideTarget, ...]
    first: First
    successor: Successor


def with_target(world: WideWorld, index: int, target: WideTarget) -> WideWorld:
    """Return the world with one target changed."""
    targets = (*world.targets[:index], target, *world.targets[index + 1 :])
    return world._replace(targets=targets)
