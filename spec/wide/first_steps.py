"""Steps of the first holder of a wide group; a lost message is a step not taken."""

from __future__ import annotations

from collections.abc import Iterator

from spec.times import GRANT_TTL
from spec.wide import rules
from spec.wide.target import NAMES, OWNERS, WideTarget
from spec.wide.world import WideWorld, with_target

Step = tuple[str, WideWorld]


def first_steps(world: WideWorld) -> Iterator[Step]:
    """Grant or renew at the owner, and move its slice once it is lost, unsaved."""
    first = world.first
    if rules.majority(first) <= 0:
        return
    owner = first.owner
    if not world.targets[owner].fence:
        term = 0 if first.moves_left else 1
        held = WideTarget(fence=0, held=GRANT_TTL, slice_term=term)
        changed = world._replace(first=first._replace(limit=GRANT_TTL))
        yield f"O grants {NAMES[owner]}", with_target(changed, owner, held)
    if not first.moves_left or not rules.first_lapsed(first):
        return
    for index in range(OWNERS):
        if index != owner:
            moved = first._replace(owner=index, moves_left=0)
            label = f"O moves {NAMES[owner]} to {NAMES[index]} as lost"
            yield label, world._replace(first=moved)
