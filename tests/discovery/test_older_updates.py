"""Tests of updates that are older than the known state."""

from __future__ import annotations

from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


def test_older_list_does_not_undo_a_removal_reported_by_a_neighbour(
    directory: TargetDirectory,
) -> None:
    """Guards against requests to a target long after it left.

    A neighbour reports the removal at revision 9 while the watch lags behind; then a
    list of revision 5 arrives late. The list was compared only with the revision of the
    watch, and an entry of the known revision cleared the leaving state.
    """
    directory.adopt_update([], frozenset({"b"}), 9, 10.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 5, 11.0)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 10.0 - GOSSIP_LAG + DRAIN)


def test_older_list_does_not_remove_a_target_reported_by_a_neighbour(
    directory: TargetDirectory,
) -> None:
    """Guards against a new target that is marked as leaving.

    A neighbour reports the target at revision 9; a list of revision 5 lacks it. Any
    target missing from a list counted as removed.
    """
    reported = target("c", 8)
    directory.adopt_update([reported], frozenset({"a", "b", "c"}), 9, 10.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 5, 11.0)
    assert ids(directory) == {"a", "b", "c"}


def test_lagging_watch_does_not_undo_a_removal(
    directory: TargetDirectory,
) -> None:
    """Guards against requests to a target that left.

    The target changes at revision 5 and is removed at 7; a neighbour reports the
    removal, then the lagging watch returns the change. The removal was stored without
    the revision at which it was learnt.
    """
    directory.adopt_update([], frozenset({"b"}), 9, 10.0)
    directory.adopt_changes((entry("a", 5),), 7, 10.2)
    assert ids(directory) == {"b"}


def test_lagging_watch_does_not_add_a_removed_target(
    directory: TargetDirectory,
) -> None:
    """Guards against requests to a target that registered and left unnoticed.

    It registers at revision 5 and leaves at 7; a neighbour's update of revision 9 lacks
    it, then the lagging watch returns its entry. An unknown target had no revision to
    compare with.
    """
    directory.adopt_update([], frozenset({"a", "b"}), 9, 10.0)
    directory.adopt_changes((entry("c", 5),), 6, 10.2)
    assert ids(directory) == {"a", "b"}


def test_entry_of_the_same_revision_does_not_undo_a_removal(
    directory: TargetDirectory,
) -> None:
    """Guards against a target that serves again right after its entry was removed.

    The watch reports the removal, then a neighbour reports the removed entry. An entry
    of the known revision counted as new.
    """
    directory.adopt_changes((removed("a", 4),), 4, 10.0)
    directory.adopt_update([target("a", 1)], frozenset({"a", "b"}), 6, 10.5)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_target_that_registers_again_serves_again(
    directory: TargetDirectory,
) -> None:
    """Guards against a removal that outlasts a later registration."""
    directory.adopt_changes((removed("a", 4),), 4, 10.0)
    directory.adopt_changes((entry("a", 7),), 7, 12.0)
    assert ids(directory) == {"a", "b"}
    assert directory.may_send("a", 20.0)


def test_removal_while_the_store_settles_counts_from_its_detection(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Guards against requests to a target after its drain time.

    The entry is removed while this instance, after an outage, still waits for targets
    to register again. The drain time counted from the end of this wait, 2 seconds late.
    """
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 9, 15.0)
    directory.adopt_changes((removed("a", 10),), 10, 15.3)
    directory.expire_targets(15.0 + REREGISTRATION_TIME)
    assert not directory.may_send("a", 15.3 + DRAIN)


def test_removal_is_adopted_while_the_own_store_connection_is_down(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Guards against requests of one instance to a target that left seconds ago.

    Only this instance has lost the store; neighbours report a removal and later that
    they know no newer revision. A missing entry was ignored until this instance's own
    connection recovered, 10 seconds later.
    """
    health.record_failure("unavailable", 10.0)
    directory.adopt_update([], frozenset({"b"}), 9, 12.0)
    assert directory.may_send("a", 12.0)
    directory.record_confirmation(12.0 + REREGISTRATION_TIME)
    directory.expire_targets(12.0 + REREGISTRATION_TIME)
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 12.0 + REREGISTRATION_TIME)


def test_targets_with_expired_entries_serve_until_their_return_can_be_reported(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Guards against an outage of all targets in the second of two store outages.

    Entries expire in the first outage and are missing from the list after it; the store
    is lost again before the targets register. The time allowed for registering again
    ran on although no source could report it.
    """
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((), 9, 15.0)
    health.record_failure("unavailable", 15.5)
    directory.expire_targets(25.0)
    assert ids(directory) == {"a", "b"}
    assert directory.may_send("a", 25.0)


def test_target_that_started_draining_unnoticed_gets_no_requests(
    directory: TargetDirectory,
) -> None:
    """Guards against requests to a target after its drain time.

    The target starts to drain while the watch is interrupted for 3 seconds, and a list
    shows it. The drain time counted from the list.
    """
    directory.record_confirmation(10.0)
    draining = entry("a", 5, state="draining")
    directory.adopt_list((draining, entry("b", 2)), 5, 13.0)
    assert not directory.may_send("a", 13.0)
