"""What a holder of a cooperative group does."""

from __future__ import annotations

from collections.abc import Iterator

from spec.cooperative.instance import NO_LEASE, Instance
from spec.cooperative.times import HOLDER_LIMIT, OUTAGE_LIMIT
from spec.cooperative.weakness import CooperativeWeakness
from spec.cooperative.world import CooperativeWorld

Step = tuple[str, CooperativeWorld]


def may_send(instance: Instance) -> bool:
    """Return whether the instance is confirmed and has waited (rule `cooperative`)."""
    if instance.lease == NO_LEASE or instance.wait or not instance.outage:
        return False
    return bool(instance.by_successor or instance.by_store)


def with_instance(
    world: CooperativeWorld, index: int, instance: Instance
) -> CooperativeWorld:
    """Return the world with one instance changed."""
    instances = world.instances
    return world._replace(
        instances=(*instances[:index], instance, *instances[index + 1 :])
    )


def _read(instance: Instance) -> Instance:
    """Return the holder after the store showed its record unchanged."""
    return instance._replace(by_store=HOLDER_LIMIT, outage=OUTAGE_LIMIT)


def reads(world: CooperativeWorld, index: int) -> Iterator[Step]:
    """Read the record unchanged."""
    instance = world.instances[index]
    if instance.lease == len(world.leases) - 1:
        after = _read(instance)
        yield f"{index} reads no change", with_instance(world, index, after)


def settles(world: CooperativeWorld, index: int) -> Iterator[Step]:
    """Write that the wait of a third instance is over."""
    instance = world.instances[index]
    current = world.leases[-1]
    if instance.lease != len(world.leases) - 1 or instance.wait:
        return
    if current.outage_wait:
        changed = with_instance(world, index, _read(instance))
        settled = current._replace(outage_wait=False)
        yield f"{index} settles", changed._replace(leases=(*world.leases[:-1], settled))


def heartbeats(
    weakness: CooperativeWeakness, world: CooperativeWorld, index: int
) -> Iterator[Step]:
    """Send a heartbeat that another instance acknowledges."""
    holder = world.instances[index]
    successor = world.leases[holder.lease].successor
    if not holder.outage:
        return
    outage = OUTAGE_LIMIT if weakness.no_outage_limit else holder.outage
    confirmed = holder._replace(by_successor=HOLDER_LIMIT, outage=outage)
    for other, peer in enumerate(world.instances):
        if other == index or peer.lease != NO_LEASE:
            continue
        if not _acknowledges(weakness, peer, holder, named=other == successor):
            continue
        changed = with_instance(world, index, confirmed)
        after = peer._replace(patience=HOLDER_LIMIT)
        yield f"{other} acknowledges {index}", with_instance(changed, other, after)


def _acknowledges(
    weakness: CooperativeWeakness, peer: Instance, holder: Instance, *, named: bool
) -> bool:
    """Return whether an instance may confirm the holder."""
    if peer.unsettled and not weakness.acknowledges_after_write:
        return False
    if weakness.acknowledges_any:
        return True
    return named and peer.known == holder.lease
