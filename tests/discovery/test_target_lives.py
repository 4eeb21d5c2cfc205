"""Tests of targets that restart under the same name."""

from __future__ import annotations

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry, ids, removed, target


@pytest.fixture(name="restarting")
def restarting_fixture(health: StoreHealth) -> TargetDirectory:
    """Return a directory with a life of target a that started at 100."""
    directory = TargetDirectory(health, DRAIN)
    directory.adopt_list((entry("a", 1, born=100), entry("b", 2)), 2, 0.0)
    return directory


def test_entry_with_new_start_replaces_previous_life(
    restarting: TargetDirectory,
) -> None:
    """Guards against a restarted target that counts as owner of its previous keys.

    This happened if targets were identified by name only, and the entry was overwritten
    after a crash without being removed.
    """
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert restarting.replaced_ids == {"a@100"}
    assert not restarting.may_send("a@100", 10.0)
    assert restarting.seen_since_by_id["a@200"] == 10.0


def test_list_with_new_start_replaces_previous_life(
    restarting: TargetDirectory,
) -> None:
    """A restart whose change was missed is detected in the next list."""
    restarting.adopt_list((entry("a", 5, born=200), entry("b", 2)), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert "a@100" in restarting.replaced_ids


def test_neighbour_update_with_new_start_replaces_previous_life(
    restarting: TargetDirectory,
) -> None:
    """Updates from neighbours distinguish lives as those from the store do."""
    reported = target("a", 5, born=200)
    restarting.adopt_update([reported], frozenset({"a@200", "b"}), 5, 10.0)
    assert ids(restarting) == {"a@200", "b"}
    assert "a@100" in restarting.replaced_ids


def test_older_entry_does_not_restore_previous_life(
    restarting: TargetDirectory,
) -> None:
    """Guards against requests and keys for a terminated life.

    This happened if an entry was compared only with the revision of its own life, and a
    watch that lagged behind returned an entry of the previous life.
    """
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.adopt_changes((entry("a", 3, born=100),), 5, 10.1)
    restarting.adopt_list((entry("a", 1, born=100), entry("b", 2)), 4, 10.2)
    assert ids(restarting) == {"a@200", "b"}
    assert not restarting.may_send("a@100", 10.2)


def test_earlier_start_after_clock_change_is_a_new_life(
    restarting: TargetDirectory,
) -> None:
    """The store revision, not the clock of the target, decides which life is newer."""
    restarting.adopt_changes((entry("a", 5, born=50),), 5, 10.0)
    assert ids(restarting) == {"a@50", "b"}


def test_removal_of_previous_life_does_not_affect_new_life(
    restarting: TargetDirectory,
) -> None:
    """The removal of the previous entry arrives late and has an older revision."""
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.adopt_changes((removed("a", 4),), 5, 10.1)
    assert ids(restarting) == {"a@200", "b"}


def test_entry_without_the_known_start_is_unusable(
    restarting: TargetDirectory,
) -> None:
    """Guards against a live target that is replaced by a new life without keys.

    This happened if a missing start time counted as a different one, and another writer
    overwrote the entry without it.
    """
    restarting.adopt_changes((entry("a", 5),), 5, 10.0)
    assert ids(restarting) == {"b"}
    assert restarting.is_leaving("a@100")
    assert "a@100" not in restarting.replaced_ids
    assert "a@100" in restarting.targets_by_id


@pytest.mark.parametrize("revisions", [(7, 3), (3, 7)])
def test_entries_with_one_address_end_no_target_in_any_list_order(
    health: StoreHealth, revisions: tuple[int, int]
) -> None:
    """Guards against a live target that ends since a copy of its entry is newer."""
    directory = TargetDirectory(health, DRAIN)
    first, second = revisions
    entries = (entry("b", first, address="x:1"), entry("c", second, address="x:1"))
    directory.adopt_list(entries, 8, 0.0)
    assert ids(directory) == {"b", "c"}
    assert not directory.replaced_ids


def test_removal_of_previous_life_keeps_current_life(
    restarting: TargetDirectory,
) -> None:
    """Removing a terminated life does not affect the current life of its name."""
    restarting.adopt_changes((entry("a", 5, born=200),), 5, 10.0)
    restarting.remove("a@100")
    restarting.adopt_changes((entry("a", 6, born=200, state="draining"),), 6, 11.0)
    assert restarting.is_leaving("a@200")
    assert "a@100" not in restarting.targets_by_id
