"""Tests of the target directory."""

from __future__ import annotations

import pytest

from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


def test_leaving_target_gets_no_requests_after_its_drain_time(
    directory: TargetDirectory,
) -> None:
    """New keys go to other targets; own keys are served for the drain time."""
    directory.adopt_changes((entry("a", 3, state="draining"),), 3, 10.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 10.5)
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_update_from_a_neighbour_counts_as_old(directory: TargetDirectory) -> None:
    """Guards against requests to a target 2.5 seconds after it announced to leave.

    A neighbour reports the announcement almost a second late. The drain time counted
    from the report.
    """
    draining = target("a", 3, is_draining=True)
    directory.adopt_update([draining], frozenset({"a", "b"}), 3, 10.0)
    assert not directory.may_send("a", 10.0 + DRAIN - GOSSIP_LAG)


def test_entries_that_expired_in_an_outage_may_return(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Guards against moving all keys after an outage of the store.

    Entries expire during the outage and are missing from the first list after it, and
    the targets register again within 2 seconds. A missing entry counted as leaving.
    """
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert ids(directory) == {"a", "b"}
    directory.adopt_changes((entry("a", 10),), 10, 16.5)
    directory.expire_targets(15.0 + REREGISTRATION_TIME + 1)
    assert ids(directory) == {"a", "b"}


def test_entries_still_missing_after_an_outage_count_as_removed(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """A target that has not registered again in time is leaving."""
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    directory.expire_targets(15.0 + REREGISTRATION_TIME + 0.1)
    assert ids(directory) == {"b"}


def test_directory_is_incomplete_right_after_a_start(health: StoreHealth) -> None:
    """Guards against most keys without an owner for 5 seconds after a store outage.

    The assigner restarts at the end of the outage and regains the lease of its previous
    incarnation immediately, but its list lacks the targets whose entries expired. It
    planned moves away from these targets.
    """
    directory = TargetDirectory(health, DRAIN)
    assert not directory.is_likely_complete(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert not directory.is_likely_complete(15.0)
    assert directory.is_likely_complete(15.0 + REREGISTRATION_TIME)


def test_directory_from_before_an_outage_stays_complete(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """Guards against an assigner that waits although it knows all targets."""
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((entry("b", 9),), 9, 15.0)
    assert directory.is_likely_complete(15.0)


def test_older_lists_and_changes_are_ignored(directory: TargetDirectory) -> None:
    """An outdated answer does not revert newer state."""
    directory.adopt_changes((entry("a", 5, state="draining"),), 5, 1.0)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 2, 2.0)
    directory.adopt_changes((entry("a", 4),), 4, 2.0)
    assert ids(directory) == {"b"}


@pytest.mark.parametrize("replaced", ["a", "c"])
def test_answer_at_an_address_tells_which_target_has_ended(
    directory: TargetDirectory, replaced: str
) -> None:
    """Two targets never share an address, but another writer's entry may name it."""
    directory.adopt_changes((entry("c", 6, address="a:1"),), 6, 1.0)
    assert ids(directory) == {"a", "b", "c"}
    directory.mark_replaced(replaced, 1.0)
    directory.adopt_changes((entry("c", 7, address="a:1"),), 7, 1.0)
    assert not directory.may_send(replaced, 1.0)
    assert ids(directory) == {"a", "b", "c"} - {replaced}


def test_target_is_leaving_after_the_removal_of_its_entry(
    directory: TargetDirectory,
) -> None:
    """Some targets leave without announcing it."""
    directory.adopt_changes((removed("a", 4),), 4, 1.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 1.5)
