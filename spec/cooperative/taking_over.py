"""Takeovers of a cooperative group; each needs a write."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from spec.cooperative.holding import Step, with_instance
from spec.cooperative.instance import Instance
from spec.cooperative.lease import Lease
from spec.cooperative.times import HOLDER_LIMIT, OUTAGE_LIMIT
from spec.cooperative.weakness import CooperativeWeakness
from spec.cooperative.world import CooperativeWorld

MAX_LEASES: Final = 3
THIRD: Final = 2
LAST: Final = 3


def news(world: CooperativeWorld, index: int) -> Iterator[Step]:
    """Hear of a newer record."""
    instance = world.instances[index]
    for number in range(instance.known + 1, len(world.leases)):
        lease = world.leases[number]
        patience = HOLDER_LIMIT if lease.successor == index else 0
        after = instance._replace(known=number, patience=patience)
        yield f"{index} hears of lease {number}", with_instance(world, index, after)


def resumes(
    weakness: CooperativeWeakness, world: CooperativeWorld, index: int
) -> Iterator[Step]:
    """Begin to hold a group whose record names this instance."""
    lease = world.leases[-1]
    if lease.holder != index or len(world.leases) == 1:
        return
    after = _begun(weakness, world, index, outage_wait=lease.outage_wait)
    yield f"{index} resumes", after


def takeovers(
    weakness: CooperativeWeakness, world: CooperativeWorld, index: int
) -> Iterator[Step]:
    """Take over, as successor or as third instance."""
    instance = world.instances[index]
    number = len(world.leases)
    if number == MAX_LEASES or instance.known != number - 1 or instance.unsettled:
        return
    current = world.leases[-1]
    if current.holder == index or not _may_take_over(instance, index, current):
        return
    lease = _lease_after(weakness, index, current)
    changed = world._replace(leases=(*world.leases, lease))
    third = current.successor != index
    wait = third or (current.outage_wait and not weakness.wait_not_recorded)
    after = _begun(weakness, changed, index, outage_wait=wait)
    yield f"{index} takes over", after
    if world.pending is None:
        after = with_instance(world, index, instance._replace(unsettled=True))
        pending = after._replace(pending=(number, lease))
        yield f"{index} takes over, answer lost", pending


def _may_take_over(instance: Instance, index: int, current: Lease) -> bool:
    """Return whether the instance's role lets it take over now."""
    if current.successor == index:
        return not instance.patience
    return index >= THIRD


def _lease_after(weakness: CooperativeWeakness, index: int, current: Lease) -> Lease:
    """Return the lease that a takeover writes."""
    outage_wait = current.outage_wait or current.successor != index
    if weakness.wait_not_recorded:
        outage_wait = False
    successor = THIRD if index == LAST else LAST
    return Lease(index, successor, outage_wait)


def _begun(
    weakness: CooperativeWeakness,
    world: CooperativeWorld,
    index: int,
    *,
    outage_wait: bool,
) -> CooperativeWorld:
    """Return the world after an instance began to hold the stored lease."""
    wait = OUTAGE_LIMIT if outage_wait else HOLDER_LIMIT
    number = len(world.leases) - 1
    after = Instance(
        lease=number,
        by_successor=0,
        by_store=HOLDER_LIMIT,
        outage=OUTAGE_LIMIT,
        wait=0 if weakness.no_wait else wait,
        patience=0,
        known=number,
        unsettled=False,
    )
    return with_instance(world, index, after)


def late_writes(world: CooperativeWorld) -> Iterator[Step]:
    """Let a takeover whose answer was lost take effect late, or never."""
    if world.pending is None:
        return
    number, lease = world.pending
    rest = world._replace(pending=None)
    if number == len(world.leases):
        yield "a write takes effect late", rest._replace(leases=(*world.leases, lease))
    instance = world.instances[lease.holder]._replace(unsettled=False)
    yield "a write is lost", with_instance(rest, lease.holder, instance)
