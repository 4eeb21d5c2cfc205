"""Tests of targets after the store came back from an older copy."""

from __future__ import annotations

from swiftpin.discovery.const import REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.model.store_revision import make_revision
from tests.discovery.conftest import DRAIN, entry, ids, removed, target

LATER = 30.0


def restored(number: int) -> int:
    """Return a revision of the era after the first."""
    return make_revision(1, number)


def test_list_of_a_restored_store_is_taken(directory: TargetDirectory) -> None:
    """New targets stayed unknown until the revisions had passed the old ones."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    listed = (entry("a", restored(1)), entry("b", restored(2)))
    directory.adopt_list(listed, restored(10), LATER)
    assert directory.version == restored(10)
    directory.adopt_changes((entry("d", restored(11)),), restored(11), LATER + 0.1)
    assert ids(directory) == {"a", "b", "c", "d"}


def test_entry_that_the_copy_lacks_has_time_to_be_written_again(
    directory: TargetDirectory,
) -> None:
    """Targets that registered after the copy was made counted as gone."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    directory.adopt_list((entry("a", restored(1)),), restored(10), LATER)
    directory.expire_targets(LATER + REREGISTRATION_TIME - 0.1)
    assert ids(directory) == {"a", "b", "c"}
    directory.adopt_changes(
        (entry("c", restored(11)),), restored(11), LATER + REREGISTRATION_TIME - 0.1
    )
    directory.expire_targets(LATER + REREGISTRATION_TIME + 0.1)
    assert ids(directory) == {"a", "c"}


def test_neighbour_tells_of_the_restored_store(directory: TargetDirectory) -> None:
    """One instance that had not noticed kept targets that others knew as missing."""
    directory.adopt_changes((entry("c", 40),), 40, 1.0)
    told = [target("a", restored(1)), target("d", restored(12))]
    directory.adopt_update(told, frozenset({"a", "d"}), restored(12), LATER)
    assert directory.version == restored(12)
    assert ids(directory) == {"a", "b", "c", "d"}


def test_neighbour_that_has_not_noticed_changes_nothing(
    directory: TargetDirectory,
) -> None:
    """What was known before the store was restored came back."""
    directory.adopt_list((entry("a", restored(1)),), restored(10), LATER)
    before = directory.version
    directory.adopt_update([target("e", 50)], frozenset({"e"}), 50, LATER)
    assert directory.version == before
    assert "e" not in ids(directory)


def test_draining_target_stays_so_though_the_copy_says_ready(
    directory: TargetDirectory,
) -> None:
    """Requests went to a target that had acknowledged its leaving."""
    directory.adopt_changes((entry("a", 40, state="draining"),), 40, 1.0)
    directory.adopt_list(
        (entry("a", restored(1)), entry("b", restored(2))), restored(10), 1.5
    )
    assert ids(directory) == {"b"}
    assert not directory.may_send("a", 1.0 + DRAIN)


def test_earlier_life_in_the_copy_does_not_end_the_present_one(
    health: StoreHealth,
) -> None:
    """A target that had restarted after the copy was made lost its requests."""
    directory = TargetDirectory(health, DRAIN)
    directory.set_services({"desk"}, 0.0)
    directory.adopt_list((entry("a", 30, born=200),), 40, 0.0)
    (present,) = ids(directory)
    directory.adopt_list((entry("a", restored(3), born=100),), restored(10), LATER)
    assert ids(directory) == {present}
    assert present not in directory.replaced_ids


def test_former_holder_of_an_address_does_not_replace_the_present_one(
    directory: TargetDirectory,
) -> None:
    """A target was taken for gone since the copy still listed who was there before."""
    directory.adopt_changes((removed("a", 38),), 38, 1.0)
    directory.adopt_changes((entry("c", 40, address="a:1"),), 40, 2.0)
    directory.adopt_list((entry("old", restored(1), address="a:1"),), restored(10), 9.0)
    assert "c" not in directory.replaced_ids


def test_second_restore_is_noticed_too(directory: TargetDirectory) -> None:
    """Only the first of two drills was handled."""
    for era in (1, 2):
        directory.adopt_list(
            (entry("a", make_revision(era, 1)),), make_revision(era, 10), LATER * era
        )
        assert directory.version == make_revision(era, 10)
