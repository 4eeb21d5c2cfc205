"""Permits for a cold target, from issuers that may not see each other."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from spec.zones.weakness import ColdWeakness

SECOND: Final = 2
"""Ticks in a second; the target bears one request a tick."""

ISSUERS: Final = 3
FIRST_IN_RANK: Final = 2
MOST: Final = FIRST_IN_RANK * (SECOND + 1)
"""Requests that the target may get within a second, which touches three ticks."""

Step = tuple[str, "ColdWorld"]


class ColdWorld(NamedTuple):
    """Issuers of one target's permits, and what the target got of late."""

    waits: tuple[int, ...] = (1,) * ISSUERS
    """Ticks until each issuer may give its next permit."""

    arrived: tuple[int, ...] = (0,) * (SECOND + 1)
    """Requests of this tick and the ones before it."""


def cold_permits(name: str, weakness: ColdWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=ColdWorld._fields,
        initial=ColdWorld(),
        transitions=lambda state: list(_steps(weakness, ColdWorld._make(state))),
        invariants={"no_crowd": no_crowd},
    )


def no_crowd(state: Mapping[str, Any]) -> bool:
    """Return whether the target got no more within a second than it may."""
    arrived: tuple[int, ...] = state["arrived"]
    return sum(arrived) <= MOST


def _steps(weakness: ColdWeakness, world: ColdWorld) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if sum(world.arrived) > MOST:
        return
    yield (
        "tick",
        ColdWorld(
            waits=tuple(max(wait - 1, 0) for wait in world.waits),
            arrived=(0, *world.arrived[:-1]),
        ),
    )
    for issuer in range(ISSUERS):
        # Any instance may take any issuer for the one to ask, at any time.
        is_first = issuer < FIRST_IN_RANK or weakness.every_issuer_gives
        if is_first and not world.waits[issuer]:
            wait = 0 if weakness.does_not_space else 1
            yield f"{issuer} gives", _give(world, issuer, wait)
        wait = 0 if weakness.new_issuer_gives_at_once else 1
        yield f"{issuer} begins anew", world._replace(waits=_with(world, issuer, wait))


def _give(world: ColdWorld, issuer: int, wait: int) -> ColdWorld:
    """Let a request reach the target by an issuer's permit."""
    now, *before = world.arrived
    return ColdWorld(waits=_with(world, issuer, wait), arrived=(now + 1, *before))


def _with(world: ColdWorld, issuer: int, wait: int) -> tuple[int, ...]:
    """Return the waits with another one for an issuer."""
    return (*world.waits[:issuer], wait, *world.waits[issuer + 1 :])
