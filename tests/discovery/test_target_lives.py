"""Tests of targets that start again under their names."""

from __future__ import annotations

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


@pytest.fixture(name="restarting")
def restarting_fixture(health: StoreHealth) -> TargetDirectory:
    """Return a directory with a life of target a that began at 100."""
    directory = TargetDirectory(health, DRAIN)
    directory.set_services({"desk"}, 0.0)
    directory.adopt_list((entry("a", 1, born=100), entry("b", 2)), 2, 0.0)
    return directory


def test_entry_with_another_start_ends_the_former_life(
    restarting: TargetDirectory,
) -> None:
    """Symptom: a target that had just started counted as holder of its old keys.

    Sequence: it crashed and registered again under its name, which had never been
    removed. Cause: a name stood for the same target as before.
    """
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert restarting.replaced_ids == {"a@100"}
    assert not restarting.may_send("a@100", 10.0)
    assert restarting.seen_since_by_id["a@200"] == 10.0


def test_list_with_another_start_ends_the_former_life(
    restarting: TargetDirectory,
) -> None:
    """A restart that was missed shows in the next list."""
    restarting.adopt_list((entry("a", 5, born=200), entry("b", 2)), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert "a@100" in restarting.replaced_ids


def test_neighbours_word_of_another_start_ends_the_former_life(
    restarting: TargetDirectory,
) -> None:
    """Neighbours tell lives apart as the store does."""
    told = target("a", 5, born=200)
    restarting.adopt_update([told], frozenset({"a@200", "b"}), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert "a@100" in restarting.replaced_ids


def test_older_entry_does_not_bring_a_former_life_back(
    restarting: TargetDirectory,
) -> None:
    """Symptom: requests and keys went to a life that had ended.

    Sequence: the new life was known; a watch that stood behind brought an entry of the
    former one. Cause: each life's entry was compared with its own revision only.
    """
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.adopt_changes((entry("a", 3, born=100),), 5, 10.1)
    restarting.adopt_list((entry("a", 1, born=100), entry("b", 2)), 4, 10.2)
    assert ids(restarting) == {"a@200", "b"}
    assert not restarting.may_send("a@100", 10.2)


def test_start_that_a_clock_set_back_is_a_new_life(
    restarting: TargetDirectory,
) -> None:
    """Starts are told by clocks, so the store's revision decides which is newer."""
    restarting.adopt_changes((entry("a", 5, born=50),), 5, 10.0)
    assert ids(restarting) == {"a@50", "b"}


def test_new_life_is_not_ended_by_the_removal_before_it(
    restarting: TargetDirectory,
) -> None:
    """The removal of the former life's entry comes late and is older."""
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.adopt_changes((removed("a", 4),), 5, 10.1)
    assert ids(restarting) == {"a@200", "b"}


def test_entry_without_the_start_that_is_known_is_another_writers(
    restarting: TargetDirectory,
) -> None:
    """Symptom: a live target was taken for a new one that holds nothing.

    Sequence: another writer replaced its entry without the start. Cause: a start that
    is not told counted as another one.
    """
    restarting.adopt_changes((entry("a", 5),), 5, 10.0)
    assert ids(restarting) == {"b"}
    assert restarting.is_leaving("a@100")
    assert "a@100" not in restarting.replaced_ids
    assert "a@100" in restarting.targets_by_id


def test_earlier_holder_of_an_address_is_gone_in_whatever_order_they_are_listed(
    health: StoreHealth,
) -> None:
    """Symptom: a new target got no requests, and its dead predecessor did.

    Sequence: the first list held a crashed target's entry behind that of the one which
    had its address by then. Cause: the later one in the list counted as the newer.
    """
    directory = TargetDirectory(health, DRAIN)
    directory.set_services({"desk"}, 0.0)
    newer = entry("b", 7, address="x:1")
    directory.adopt_list((newer, entry("c", 3, address="x:1")), 8, 0.0)
    assert ids(directory) == {"b"}


def test_forgotten_life_leaves_its_name_to_the_present_one(
    restarting: TargetDirectory,
) -> None:
    """What is dropped is the life that ended."""
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.remove("a@100")
    restarting.adopt_changes((entry("a", 6, born=200, state="draining"),), 6, 11.0)
    assert restarting.is_leaving("a@200")
    assert "a@100" not in restarting.targets_by_id
