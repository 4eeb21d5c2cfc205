"""Tests of updates that are older than what is known."""

from __future__ import annotations

from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


def test_older_list_does_not_undo_a_neighbours_removal(
    directory: TargetDirectory,
) -> None:
    """Symptom: requests went to a target long after it had left.

    Sequence: the watch fell behind; a neighbour told of the removal at revision 9; the
    store's answer to a list from before it, at revision 5, arrived late.
    Cause: a list was compared with the watch's revision, not with what was known, and
    an entry of the same revision took the note of the leaving away.
    """
    directory.adopt_update([], frozenset({"b"}), 9, 10.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 5, 11.0)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 10.0 - GOSSIP_LAG + DRAIN)


def test_older_list_does_not_remove_what_a_neighbour_told(
    directory: TargetDirectory,
) -> None:
    """Symptom: a target that had just joined was noted as leaving.

    Sequence: a neighbour told of it at revision 9; a list from revision 5 lacked it.
    Cause: whatever a list lacked counted as removed.
    """
    told = target("c", 8)
    directory.adopt_update([told], frozenset({"a", "b", "c"}), 9, 10.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 5, 11.0)
    assert ids(directory) == {"a", "b", "c"}


def test_watch_that_is_behind_does_not_undo_a_removal(
    directory: TargetDirectory,
) -> None:
    """Symptom: a target that had left got requests again.

    Sequence: it changed at revision 5 and was removed at 7; a neighbour told of the
    removal; the watch, which stood behind, brought the change. Cause: the removal was
    kept without the revision at which it was learnt.
    """
    directory.adopt_update([], frozenset({"b"}), 9, 10.0)
    directory.adopt_changes((entry("a", 5),), 7, 10.2)
    assert ids(directory) == {"b"}


def test_watch_that_is_behind_does_not_bring_an_unknown_target(
    directory: TargetDirectory,
) -> None:
    """Symptom: requests went to a target that had come and gone.

    Sequence: it registered at revision 5 and left at 7, both unseen here; a neighbour's
    picture of revision 9 lacked it; the watch, which stood behind, brought its entry.
    Cause: a target that was not known had no revision to compare with.
    """
    directory.adopt_update([], frozenset({"a", "b"}), 9, 10.0)
    directory.adopt_changes((entry("c", 5),), 6, 10.2)
    assert ids(directory) == {"a", "b"}


def test_entry_of_the_same_revision_does_not_undo_a_removal(
    directory: TargetDirectory,
) -> None:
    """Symptom: a target was back at once after its entry had been removed.

    Sequence: the watch told of the removal; a neighbour told the entry that had been
    removed. Cause: an entry of the revision already known counted as new.
    """
    directory.adopt_changes((removed("a", 4),), 4, 10.0)
    directory.adopt_update([target("a", 1)], frozenset({"a", "b"}), 6, 10.5)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_entry_that_is_written_anew_brings_a_target_back(
    directory: TargetDirectory,
) -> None:
    """A target that lost its entry and registered again serves again."""
    directory.adopt_changes((removed("a", 4),), 4, 10.0)
    directory.adopt_changes((entry("a", 7),), 7, 12.0)
    assert ids(directory) == {"a", "b"}
    assert directory.may_send("a", 20.0)


def test_removal_while_the_store_settles_counts_from_when_it_was_seen(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Symptom: requests went to a target more than its drain time after its removal.

    Sequence: this instance saw the store's return late; a target's entry was removed
    while it still waited for lapsed entries; the wait ended 2 s later.
    Cause: the drain time was counted from the end of the wait.
    """
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 9, 15.0)
    directory.adopt_changes((removed("a", 10),), 10, 15.3)
    directory.expire_targets(15.0 + REREGISTRATION_TIME)
    assert not directory.may_send("a", 15.3 + DRAIN)


def test_removal_is_noted_while_the_own_store_stays_away(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Symptom: one instance sent to a target for seconds after it had left.

    Sequence: the store was away for this instance alone; neighbours told of a removal,
    and went on telling that they knew nothing newer. Cause: a missing entry waited for
    the own store's return, which was 10 s away.
    """
    health.record_failure("away", 10.0)
    directory.adopt_update([], frozenset({"b"}), 9, 12.0)
    assert directory.may_send("a", 12.0)
    directory.record_confirmation(12.0 + REREGISTRATION_TIME)
    directory.expire_targets(12.0 + REREGISTRATION_TIME)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 12.0 + REREGISTRATION_TIME)


def test_lapsed_targets_serve_while_nobody_can_tell_of_their_return(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Symptom: nothing was served in the second of two outages of the store.

    Sequence: entries lapsed in the first outage; the list after it lacked them; the
    store was lost again before they had registered. Cause: the time for their return
    ran on while nothing could tell of it.
    """
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((), 9, 15.0)
    health.record_failure("away", 15.5)
    directory.expire_targets(25.0)
    assert ids(directory) == {"a", "b"}
    assert directory.may_send("a", 25.0)


def test_target_that_drained_unseen_gets_nothing_more(
    directory: TargetDirectory,
) -> None:
    """Symptom: a target got requests more than its drain time after its announcement.

    Sequence: the watch stood still for 3 s, in which the target began to drain; a list
    told of it at last. Cause: the drain time was counted from the list.
    """
    directory.record_confirmation(10.0)
    draining = entry("a", 5, state="draining")
    directory.adopt_list((draining, entry("b", 2)), 5, 13.0)
    assert not directory.may_send("a", 13.0)
