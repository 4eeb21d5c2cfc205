"""Requests to a zone that is evacuated, from instances that learn of it late."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from spec.zones.weakness import EvacuationWeakness

BOUND: Final = 5
"""Ticks after which nothing may be sent to the zone."""

STORE_LAG: Final = 2
"""Ticks within which whoever watches the store learns of a change."""

HEARING_LAG: Final = 1
"""Ticks for which what the neighbour tells is on its way."""

LONGEST: Final = BOUND + 2
UNKNOWN: Final = -1

Step = tuple[str, "EvacuationWorld"]


class EvacuationWorld(NamedTuple):
    """One zone, an instance, and a neighbour from which it learns."""

    age: int = UNKNOWN
    """Ticks since the evacuation was accepted."""

    neighbour_age: int = UNKNOWN
    own_age: int = UNKNOWN
    """Ticks for which each believes that it has been known."""

    message: tuple[int, int] | None = None
    """What the neighbour told, and for how many ticks it has been on its way."""

    has_forgotten: bool = False
    """Whether the instance dropped an evacuation that it knew."""

    is_restored: bool = False
    was_sent_late: bool = False


def evacuated_zone(name: str, weakness: EvacuationWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=EvacuationWorld._fields,
        initial=EvacuationWorld(),
        transitions=lambda state: list(_steps(weakness, EvacuationWorld._make(state))),
        invariants={"nothing_late": nothing_late},
    )


def nothing_late(state: Mapping[str, Any]) -> bool:
    """Return whether nothing was sent to the zone after the bound."""
    return not state["was_sent_late"]


def _steps(weakness: EvacuationWeakness, world: EvacuationWorld) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if world.was_sent_late:
        return
    if world.age == UNKNOWN:
        yield "accepted", world._replace(age=0)
        return
    if world.neighbour_age == UNKNOWN:
        yield "neighbour learns", world._replace(neighbour_age=0)
    if world.own_age == UNKNOWN and world.age <= STORE_LAG:
        yield "reads the store", world._replace(own_age=0)
    if not _must_learn(world):
        yield "tick", _tick(world)
    yield from _gossip_steps(weakness, world)
    if not world.is_restored and world.neighbour_age != UNKNOWN:
        yield "store restored", _restore(weakness, world)
    if _may_send(weakness, world):
        yield "send", world._replace(was_sent_late=world.age > BOUND)


def _must_learn(world: EvacuationWorld) -> bool:
    """Return whether somebody in touch learns before more time passes."""
    if world.neighbour_age == UNKNOWN and world.age >= STORE_LAG:
        return True
    return world.message is not None and world.message[1] >= HEARING_LAG


def _tick(world: EvacuationWorld) -> EvacuationWorld:
    """Let time pass everywhere."""
    message = world.message
    return world._replace(
        age=min(world.age + 1, LONGEST),
        neighbour_age=_older(world.neighbour_age),
        own_age=_older(world.own_age),
        message=None if message is None else (message[0], message[1] + 1),
    )


def _older(age: int) -> int:
    """Return an age one tick later."""
    return age if age == UNKNOWN else min(age + 1, LONGEST)


def _gossip_steps(
    weakness: EvacuationWeakness, world: EvacuationWorld
) -> Iterator[Step]:
    """Return what the neighbour tells, and its arrival."""
    if world.neighbour_age != UNKNOWN and world.message is None:
        yield "tell", world._replace(message=(world.neighbour_age, 0))
    if world.message is None:
        return
    told = 0 if weakness.counts_from_hearing else world.message[0] + HEARING_LAG
    own = told if world.own_age == UNKNOWN else max(world.own_age, told)
    yield "hear", world._replace(own_age=min(own, LONGEST), message=None)


def _restore(weakness: EvacuationWeakness, world: EvacuationWorld) -> EvacuationWorld:
    """Let the store come back from a copy that does not list the zone."""
    restored = world._replace(is_restored=True)
    if weakness.restored_store_ends_it and world.own_age != UNKNOWN:
        return restored._replace(own_age=UNKNOWN, has_forgotten=True)
    return restored


def _may_send(weakness: EvacuationWeakness, world: EvacuationWorld) -> bool:
    """Return whether the instance sends to the zone, and is in touch.

    One that has not heard of the evacuation yet is in touch only as long as the store
    and the neighbour may take; one that has dropped it always is.
    """
    if world.own_age == UNKNOWN:
        return world.age <= STORE_LAG + HEARING_LAG or world.has_forgotten
    margin = 0 if weakness.uses_whole_bound else STORE_LAG
    return world.own_age < BOUND - margin
