"""Leases of several instances on real stand-ins."""

from __future__ import annotations

from dataclasses import replace
import math

import pytest

from swiftpin.core import monotonic_now
from swiftpin.exceptions import NoOwnerError
from swiftpin.ownership import slice_moves, target_link
from tests.ownership.world import GROUP, TIMING, World


async def test_one_instance_holds_the_group_and_serves_every_slice(
    world: World,
) -> None:
    """The first record is written once and all slices are granted."""
    await world.async_served()
    assert world.events.records[0].term == 2
    assert world.overlaps() == []


async def test_a_dead_holder_is_replaced_by_its_successor(world: World) -> None:
    """Symptom: keys unserved for ever after an instance died.

    Events: the holder ends without a word; its successor misses the heartbeats.
    Cause: a lease that only its holder could give up.
    """
    first = await world.async_served()
    successor = world.record(first).successor
    assert successor is not None
    await world.async_kill_instance(first)
    assert await world.async_served() == successor.split("/")[0]
    assert world.overlaps() == []


async def test_slices_of_a_dead_target_move_to_live_ones(world: World) -> None:
    """Symptom: the keys of a dead target stay unserved, or get two owners.

    Events: a target is killed while it holds slices.
    Cause: moving before its grants ended, or never.
    """
    await world.async_served()
    await world.async_kill_target("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    assert world.overlaps() == []


async def test_a_dead_target_is_replaced_while_the_store_is_away(
    world: World,
) -> None:
    """Symptom: a store outage stops the failover of targets.

    Events: the store goes away, then a target is killed; the store comes back.
    Cause: moves that wait for a write which cannot be made.
    """
    await world.async_served()
    world.store.faults.outage = True
    await world.async_kill_target("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    world.store.faults.outage = False
    await world.async_until(lambda: world.stored_owners() == {"t1", "t2"})
    assert world.overlaps() == []


async def test_a_dead_holder_is_replaced_while_the_store_is_away(
    world: World,
) -> None:
    """Symptom: a store outage stops the failover of instances.

    Events: the store goes away, then the holder dies.
    Cause: a takeover that only a write can decide.
    """
    first = await world.async_served()
    await world.async_until(lambda: world.successor_acknowledged(first))
    world.store.faults.outage = True
    await world.async_kill_instance(first)
    second = await world.async_served()
    assert world.record(second).term % 2 == 1
    world.store.faults.outage = False
    await world.async_until(lambda: world.stored_holder() == second)
    await world.async_served()
    assert world.overlaps() == []


async def test_holder_and_target_lost_together_in_an_outage(world: World) -> None:
    """Symptom: two owners after the successor guessed what the holder had done.

    Events: store away; holder and a target die at once; the store comes back.
    Cause: serving slices before all earlier grants ended.
    """
    first = await world.async_served()
    await world.async_until(lambda: world.successor_acknowledged(first))
    world.store.faults.outage = True
    await world.async_kill_instance(first)
    await world.async_kill_target("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    world.store.faults.outage = False
    await world.async_until(lambda: world.stored_owners() == {"t1", "t2"})
    assert world.overlaps() == []


async def test_holder_and_successor_lost_together(world: World) -> None:
    """Symptom: nobody takes a group over whose successor died too.

    Events: holder and successor die at once.
    Cause: only the successor watching the holder.
    """
    first = await world.async_served()
    successor = (world.record(first).successor or "").split("/")[0]
    await world.async_kill_instance(first)
    await world.async_kill_instance(successor)
    third = await world.async_served()
    assert third not in (first, successor)
    assert world.overlaps() == []


async def test_a_write_whose_answer_was_lost_is_read_back(world: World) -> None:
    """Symptom: a holder steps down, or moves again, after its own write.

    Events: the record of a move takes effect, its answer is lost.
    Cause: taking one's own version for another instance's.
    """
    first = await world.async_served()
    world.store.faults.lose_answer_next = 1
    await world.async_kill_target("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    assert await world.async_served() == first
    assert world.overlaps() == []


async def test_a_holder_cut_off_from_others_keeps_one_owner(world: World) -> None:
    """Symptom: two instances hold one group for long.

    Events: the holder is cut off from all instances and the store, but reaches
    the targets; its successor takes over.
    Cause: a holder that goes on after a majority follows another one.
    """
    first = await world.async_served()
    world.network.cut = {
        frozenset({first, name}) for name in ("i0", "i1", "i2") if name != first
    }
    world.store.faults.blocked_clients = [first]
    await world.async_until(lambda: world.holder() not in (None, first))
    await world.async_served()
    assert world.overlaps() == []


async def test_a_restarted_target_serves_again(world: World) -> None:
    """Symptom: a restarted target refuses everything.

    Events: a target stops and starts under a new boot id without grants.
    Cause: renewing grants that the new start does not have.
    """
    await world.async_served()
    await world.async_restart_target("t0")
    boot_id = world.targets_by_id["t0"].boot_id
    await world.async_until(
        lambda: world.stored_record().boots_by_target["t0"] == boot_id
    )
    await world.async_served()
    assert world.overlaps() == []


async def test_all_targets_restarted_are_served_again(world: World) -> None:
    """Symptom: a group stays without a holder after a rolling restart.

    Events: every target restarts, so that none follows the holder any more.
    Cause: waiting for a majority that only named starts can give.
    """
    await world.async_served()
    for name in world.targets_by_id:
        await world.async_restart_target(name)
    await world.async_served()
    assert world.overlaps() == []


async def test_a_restarted_target_does_not_count_before_the_store_names_it(
    world: World,
) -> None:
    """Symptom: a deposed holder is confirmed by targets that forgot their fence.

    Events: the store is away, two of three targets restart.
    Cause: counting a start that no record names.
    """
    first = await world.async_served()
    world.store.faults.outage = True
    await world.async_restart_target("t0")
    await world.async_restart_target("t1")
    await world.async_until(lambda: world.holder() is None)
    world.store.faults.outage = False
    assert await world.async_served() == first
    assert world.overlaps() == []


async def test_cooperative_groups_move_nothing_without_the_store(
    unchecked_world: World,
) -> None:
    """Symptom: two holders move one slice to different targets.

    Events: the store is away, a target that checks nothing dies.
    Cause: acting on a record that nothing orders.
    """
    world = unchecked_world
    await world.async_served()
    before = world.stored_record()
    world.store.faults.outage = True
    await world.async_kill_target("t0")
    tried = world.takeovers_tried
    await world.async_until(lambda: world.takeovers_tried > tried)
    assert world.stored_record() == before
    assert world.owners() in ({"t0", "t1", "t2"}, set())
    world.store.faults.outage = False
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()


async def test_a_planned_hand_over_keeps_grants(world: World) -> None:
    """A stopping instance's successor holds the group without any lapse."""
    first = await world.async_served()
    coordinator = world.network.coordinators_by_name[first]
    await coordinator.async_unload()
    del world.network.coordinators_by_name[first]
    await world.async_served()
    assert world.lapses() == 0
    assert world.overlaps() == []


async def test_a_leaving_target_gives_up_its_slices(world: World) -> None:
    """A target with a planned stop owns nothing after a while."""
    await world.async_served()
    world.plan_stop("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    assert world.overlaps() == []


async def test_unchecked_targets_are_served_by_one_holder(
    unchecked_world: World,
) -> None:
    """Targets that check nothing get their slices through the holder alone."""
    first = await unchecked_world.async_served()
    await unchecked_world.async_kill_instance(first)
    second = await unchecked_world.async_served()
    assert second != first


async def test_unchecked_targets_are_not_taken_over_without_the_store(
    unchecked_world: World,
) -> None:
    """Symptom: two instances send to targets that cannot tell them apart.

    Events: the store goes away, the holder dies.
    Cause: a takeover that nothing orders.
    """
    world = unchecked_world
    first = await world.async_served()
    world.store.faults.outage = True
    await world.async_kill_instance(first)
    tried = world.takeovers_tried
    await world.async_until(lambda: world.takeovers_tried > tried + 2)
    assert world.holder() is None
    world.store.faults.outage = False
    assert await world.async_served() != first


async def test_an_unreachable_target_keeps_its_slices_until_grants_end(
    world: World,
) -> None:
    """Symptom: a target that is cut off answers callers while another one owns.

    Events: a target's control interface hangs; it lives and holds grants.
    Cause: moving its slices before the last grant that it may have received ended.
    """
    await world.async_served()
    world.targets_by_id["t0"].faults.hang = True
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    assert world.overlaps() == []


async def test_without_the_rule_lapsed_an_unreachable_target_overlaps(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Show that the test above fails when grants are not waited out."""
    await world.async_served()
    monkeypatch.setattr(target_link, "lapsed", lambda *_: True)
    monkeypatch.setattr(slice_moves, "lapse_end", lambda *_: -math.inf)
    world.targets_by_id["t0"].faults.hang = True
    await world.async_until(lambda: bool(world.overlaps()))


async def test_a_paused_holder_stops_by_itself(world: World) -> None:
    """Symptom: an instance that was frozen sends with a lease that lapsed.

    Events: the holder's acknowledgements are older than its limit, as after a
    pause; nothing has told it yet that another instance took over.
    Cause: checking the lease only when it was taken.
    """
    first = await world.async_served()
    coordinator = world.network.coordinators_by_name[first]
    now = monotonic_now()
    assert coordinator.send_until(GROUP, now) is not None
    resumed = now + TIMING.holder_limit * 2
    assert coordinator.send_until(GROUP, resumed) is None
    with pytest.raises(NoOwnerError):
        coordinator.resolve(world.service, "key", resumed)


async def test_a_late_write_of_the_last_holder_does_not_strand_the_group(
    world: World,
) -> None:
    """Symptom: a group is unserved for ever although everything is up again.

    Events: the holder's last write takes effect, its news do not get out; the store
    goes away; the holder dies; its successor takes over by the reserved term; the
    store comes back with a record that the successor had not heard of.
    Cause: the successor steps down for a lease that ended with its fence. Found by
    `swiftpin-bench faults`, seed 2.
    """
    first = await world.async_served()
    await world.async_until(lambda: world.successor_acknowledged(first))
    world.write_behind_the_news()
    world.store.faults.outage = True
    await world.async_kill_instance(first)
    second = await world.async_served()
    world.store.faults.outage = False
    await world.async_until(lambda: world.stored_holder() == second)
    await world.async_served()
    assert world.overlaps() == []


async def test_a_holder_does_not_go_back_to_a_term_that_targets_left(
    world: World,
) -> None:
    """Symptom: a holder that raised its own term is refused everywhere as stale.

    Events: a renewal of the lease is pending while the store hangs; a move built on
    the older term meets it; the move is acted on unsaved.
    Cause: taking "superseded" for "the store is away". Found by `swiftpin-bench
    faults`, seed 1 (tests/traces/bad_assignment_reverted_to_an_older_term.jsonl).
    """
    first = await world.async_served()
    holder = world.network.coordinators_by_name[first].holders_by_group[GROUP]
    older = replace(holder.record, term=holder.record.term - 2, revision=99)
    assert holder._lease.adopt_unsaved(older) is False
    assert holder.record.term > older.term


async def test_a_target_removed_from_the_declaration_gives_up_its_slices(
    world: World,
) -> None:
    """Symptom: a target that was removed owns slices for ever.

    Events: the declaration changes, without one of the targets.
    Cause: planning moves only between declared targets.
    """
    await world.async_served()
    world.remove_target("t0")
    await world.async_until(lambda: world.owners() == {"t1", "t2"})
    await world.async_served()
    assert world.overlaps() == []
