"""A cooperative group as a protocol that minicheck can check."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final

from minicheck import Protocol

from spec.cooperative.holding import heartbeats, may_send, reads, settles
from spec.cooperative.instance import BYSTANDER, NO_LEASE, Instance
from spec.cooperative.lease import Lease
from spec.cooperative.taking_over import late_writes, news, resumes, takeovers
from spec.cooperative.times import HOLDER_LIMIT, OUTAGE_LIMIT
from spec.cooperative.weakness import CooperativeWeakness
from spec.cooperative.world import CooperativeWorld
from spec.times import down

HOLDER: Final = 0
SUCCESSOR: Final = 1
INSTANCES: Final = 4


def cooperative_group(name: str, weakness: CooperativeWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=CooperativeWorld._fields,
        initial=_initial(),
        transitions=lambda state: list(_steps(weakness, CooperativeWorld._make(state))),
        invariants={"one_sender": one_sender},
    )


def one_sender(state: Mapping[str, Any]) -> bool:
    """Return whether at most one instance may send to the group's targets."""
    return sum(may_send(instance) for instance in state["instances"]) <= 1


def _initial() -> CooperativeWorld:
    """Return the state in which the first lease has just been confirmed."""
    holder = BYSTANDER._replace(
        lease=0, by_successor=HOLDER_LIMIT, by_store=HOLDER_LIMIT, outage=OUTAGE_LIMIT
    )
    successor = BYSTANDER._replace(patience=HOLDER_LIMIT)
    others = (BYSTANDER,) * (INSTANCES - 2)
    return CooperativeWorld(
        instances=(holder, successor, *others),
        leases=(Lease(HOLDER, SUCCESSOR, outage_wait=False),),
        pending=None,
    )


def _steps(
    weakness: CooperativeWeakness, world: CooperativeWorld
) -> Iterator[tuple[str, CooperativeWorld]]:
    """Return every step that may come next."""
    yield "tick", world._replace(instances=tuple(map(_tick, world.instances)))
    for index, instance in enumerate(world.instances):
        if instance.lease == NO_LEASE:
            yield from news(world, index)
            yield from resumes(weakness, world, index)
            yield from takeovers(weakness, world, index)
        else:
            yield from reads(world, index)
            yield from settles(world, index)
            yield from heartbeats(weakness, world, index)
    yield from late_writes(world)


def _tick(instance: Instance) -> Instance:
    """Return the instance one tick later."""
    return instance._replace(
        by_successor=down(instance.by_successor),
        by_store=down(instance.by_store),
        outage=down(instance.outage),
        wait=down(instance.wait),
        patience=down(instance.patience),
    )
