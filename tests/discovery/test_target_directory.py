"""Tests of what is known of targets."""

from __future__ import annotations

from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


def test_leaving_target_gets_nothing_after_its_drain_time(
    directory: TargetDirectory,
) -> None:
    """New keys go elsewhere at once; what is its own may go on for a while."""
    directory.adopt_changes((entry("a", 3, state="draining"),), 3, 10.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 10.5)
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_update_from_a_neighbour_counts_as_old(directory: TargetDirectory) -> None:
    """Symptom: a request reached a target 2.5 s after it had said that it leaves.

    Sequence: an instance learnt of it from a neighbour, most of a second later.
    Cause: the drain time was counted from then.
    """
    gone = target("a", 3, is_draining=True)
    directory.adopt_update([gone], frozenset({"a", "b"}), 3, 10.0)
    assert not directory.may_send("a", 10.0 + DRAIN - GOSSIP_LAG)


def test_entries_that_lapsed_in_an_outage_may_come_back(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Symptom: all keys moved after an outage of the store.

    Sequence: entries ran out while the store was away; the first list after its return
    lacked them; the targets registered again within two seconds.
    Cause: a missing entry was taken for a target that left.
    """
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert ids(directory) == {"a", "b"}
    directory.adopt_changes((entry("a", 10),), 10, 16.5)
    directory.expire_targets(15.0 + REREGISTRATION_TIME + 1)
    assert ids(directory) == {"a", "b"}


def test_entries_that_stay_away_after_an_outage_are_gone(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """One that is still missing after the time for its return has left."""
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    directory.expire_targets(15.0 + REREGISTRATION_TIME + 0.1)
    assert ids(directory) == {"b"}


def test_targets_are_not_known_right_after_a_start(health: StoreHealth) -> None:
    """Symptom: most keys had no owner for 5 s after an outage of the store.

    Sequence: the assigner ended in the outage and started again at its end; the lease
    of its earlier incarnation was its own at once; its list lacked the targets whose
    entries had lapsed. Cause: it planned moves away from targets that it did not know.
    """
    directory = TargetDirectory(health, DRAIN)
    assert not directory.is_likely_complete(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert not directory.is_likely_complete(15.0)
    assert directory.is_likely_complete(15.0 + REREGISTRATION_TIME)


def test_targets_that_were_known_before_an_outage_are_known_after_it(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Who knew them may assign keys at once."""
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert directory.is_likely_complete(15.0)


def test_older_lists_and_changes_are_passed_over(directory: TargetDirectory) -> None:
    """A stale answer never turns the list back."""
    directory.adopt_changes((entry("a", 5, state="draining"),), 5, 1.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 2, 2.0)
    directory.adopt_changes((entry("a", 4),), 4, 2.0)
    assert ids(directory) == {"b"}


def test_newcomer_at_an_address_shows_that_the_other_is_gone(
    directory: TargetDirectory,
) -> None:
    """Two targets never share an address; nothing more goes to the earlier one."""
    directory.adopt_changes((entry("c", 6, address="a:1"),), 6, 1.0)
    assert not directory.may_send("a", 1.0)
    assert ids(directory) == {"b", "c"}


def test_removed_entry_is_a_target_that_leaves(directory: TargetDirectory) -> None:
    """Some targets say nothing before they leave."""
    directory.adopt_changes((removed("a", 4),), 4, 1.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 1.5)
