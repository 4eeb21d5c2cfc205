"""Tests of targets after the store was restored from a backup."""

from __future__ import annotations

from swiftpin.discovery.const import REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.model.store_revision import make_revision
from tests.discovery.conftest import DRAIN, entry, ids, removed, target

LATER = 30.0


def restored(number: int) -> int:
    """Return a revision of the era after the restore."""
    return make_revision(1, number)


def test_list_of_a_restored_store_is_adopted(directory: TargetDirectory) -> None:
    """Guards against ignoring new targets because revision numbers restart."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    listed = (entry("a", restored(1)), entry("b", restored(2)))
    directory.adopt_list(listed, restored(10), LATER)
    assert directory.version == restored(10)
    directory.adopt_changes((entry("d", restored(11)),), restored(11), LATER + 0.1)
    assert ids(directory) == {"a", "b", "c", "d"}


def test_entry_missing_from_the_backup_has_time_to_be_written_again(
    directory: TargetDirectory,
) -> None:
    """Guards against removing targets that registered after the backup was made."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    directory.adopt_list((entry("a", restored(1)),), restored(10), LATER)
    directory.expire_targets(LATER + REREGISTRATION_TIME - 0.1)
    assert ids(directory) == {"a", "b", "c"}
    directory.adopt_changes(
        (entry("c", restored(11)),), restored(11), LATER + REREGISTRATION_TIME - 0.1
    )
    directory.expire_targets(LATER + REREGISTRATION_TIME + 0.1)
    assert ids(directory) == {"a", "c"}


def test_neighbour_reports_the_restored_store(directory: TargetDirectory) -> None:
    """Guards against an instance that does not detect the restore from a neighbour."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    reported = [target("a", restored(1)), target("d", restored(12))]
    directory.adopt_update(reported, frozenset({"a", "d"}), restored(12), LATER)
    assert directory.version == restored(12)
    assert ids(directory) == {"a", "b", "c", "d"}


def test_update_from_a_neighbour_unaware_of_the_restore_is_ignored(
    directory: TargetDirectory,
) -> None:
    """Guards against returning to the state from before the restore."""
    directory.adopt_list((entry("a", restored(1)),), restored(10), LATER)
    before = directory.version
    directory.adopt_update([target("e", 50)], frozenset({"e"}), 50, LATER)
    assert directory.version == before
    assert "e" not in ids(directory)


def test_draining_target_stays_draining_though_the_backup_says_ready(
    directory: TargetDirectory,
) -> None:
    """Guards against requests to a target that was leaving before the restore."""
    directory.adopt_changes((entry("a", 40, state="draining"),), 40, 1.0)
    directory.adopt_list(
        (entry("a", restored(1)), entry("b", restored(2))), restored(10), 1.5
    )
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 1.0 + DRAIN)


def test_earlier_life_in_the_backup_does_not_replace_the_current_one(
    health: StoreHealth,
) -> None:
    """Guards against a target without requests since it restarted after the backup."""
    directory = TargetDirectory(health, DRAIN)
    directory.adopt_list((entry("a", 30, born=200),), 40, 0.0)
    (current,) = ids(directory)
    directory.adopt_list((entry("a", restored(3), born=100),), restored(10), LATER)
    assert ids(directory) == {current}
    assert current not in directory.replaced_ids


def test_previous_target_at_an_address_does_not_replace_the_current_one(
    directory: TargetDirectory,
) -> None:
    """Guards against a live target replaced by one that the backup still lists."""
    directory.adopt_changes((removed("a", 38),), 38, 1.0)
    directory.adopt_changes((entry("c", 40, address="a:1"),), 40, 2.0)
    directory.adopt_list((entry("old", restored(1), address="a:1"),), restored(10), 9.0)
    assert "c" not in directory.replaced_ids


def test_second_restore_is_detected(directory: TargetDirectory) -> None:
    """Guards against detecting only the first of several restores."""
    for era in (1, 2):
        directory.adopt_list(
            (entry("a", make_revision(era, 1)),), make_revision(era, 10), LATER * era
        )
        assert directory.version == make_revision(era, 10)
