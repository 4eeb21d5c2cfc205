"""Tests of entries that name no target to use."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.discovery import unusable_entries
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.platform.platform_object import PlatformObject
from tests.discovery.conftest import DRAIN, entry, ids, removed


def spoilt(name: str, revision: int) -> PlatformObject:
    """Return an entry whose content can't be read."""
    return replace(entry(name, revision), document={"specification": 7})


def nameless() -> PlatformObject:
    """Return an entry whose metadata can't be read."""
    return PlatformObject(
        name="", revision=0, is_deleted=False, document={}, is_readable=False
    )


@pytest.fixture(name="reasons")
def reasons_fixture(directory: TargetDirectory) -> list[str]:
    """Return a list to which each unusable entry's reason is added."""
    reasons: list[str] = []
    directory.unusable_entries.on_unusable = reasons.append
    return reasons


def test_spoilt_entries_leave_the_others_of_a_list(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """Whatever another writer leaves, targets that can be read are used."""
    directory.adopt_list(
        (entry("a", 1), spoilt("x", 4), nameless(), entry("b", 2), entry("c", 5)),
        5,
        1.0,
    )
    assert ids(directory) == {"a", "b", "c"}
    assert reasons == ["field", "metadata"]


def test_known_target_whose_entry_is_spoilt_is_one_that_leaves(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """Symptom: keys were granted to a second target while the first still held them.

    Sequence: another writer spoilt the entry of a target that held keys.
    Cause: what can't be read would be dropped; its address is needed to release.
    """
    directory.adopt_changes((spoilt("a", 4),), 4, 10.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 10.5)
    assert not directory.may_send("a", 10.0 + DRAIN)
    assert directory.targets_by_id["a"].address == "a:1"
    assert [target.id for target in directory.listed_targets()] == ["b"]
    assert reasons == ["field"]


def test_target_whose_entry_is_mended_serves_again(directory: TargetDirectory) -> None:
    """The next report of the target itself replaces what another writer left."""
    directory.adopt_changes((spoilt("a", 4),), 4, 10.0)
    directory.adopt_changes((entry("a", 5),), 5, 11.0)
    assert ids(directory) == {"a", "b"}
    assert len(directory.listed_targets()) == 2


def test_spoilt_entry_from_before_is_passed_over(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """A watch that stands behind spoils nothing that is known by now."""
    directory.adopt_changes((entry("a", 6),), 6, 10.0)
    directory.adopt_changes((spoilt("a", 4),), 6, 10.1)
    assert ids(directory) == {"a", "b"}
    assert not reasons


def test_entry_without_a_readable_revision_makes_its_target_leave(
    directory: TargetDirectory,
) -> None:
    """A good entry of any later revision brings it back."""
    odd = replace(entry("a", 0), is_readable=False)
    directory.adopt_changes((odd,), 9, 10.0)
    assert ids(directory) == {"b"}
    directory.adopt_changes((entry("a", 5),), 10, 11.0)
    assert ids(directory) == {"a", "b"}


def test_spoilt_entry_that_is_removed_is_a_target_that_left(
    directory: TargetDirectory,
) -> None:
    """The drain time counts from what was seen first."""
    directory.adopt_changes((spoilt("a", 4),), 4, 10.0)
    directory.adopt_changes((removed("a", 6),), 6, 11.0)
    assert directory.leaving_since_by_id["a"] == 10.0


def test_entry_that_is_marked_for_deletion_is_missing(
    directory: TargetDirectory,
) -> None:
    """One that waits for its finalizers still lies in the list."""
    deleting = replace(entry("a", 4), is_deleted=True)
    directory.adopt_list((deleting, entry("b", 2)), 5, 10.0)
    assert ids(directory) == {"b"}


def test_target_of_another_service_than_before_is_another_writers(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """A life serves one service; it may hold keys of that one."""
    other = entry("a", 4)
    other.document["specification"]["information"]["service"] = "vault"
    directory.adopt_changes((other,), 4, 10.0)
    assert ids(directory) == {"b"}
    assert directory.serving_targets("vault", 10.0) == []
    assert reasons == ["service"]


def test_lines_about_spoilt_entries_have_a_bound(
    directory: TargetDirectory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Symptom: the logs were full of one line.

    Sequence: another writer spoilt hundreds of entries; each list held them.
    Cause: a line was written for each.
    """
    lines: list[object] = []
    monkeypatch.setattr(
        unusable_entries, "log_message", lambda **fields: lines.append(fields)
    )
    for number in range(50):
        directory.adopt_changes((spoilt(f"x{number}", 10 + number),), 60, 10.0)
    assert len(lines) == unusable_entries.UNUSABLE_LINES


def test_all_entries_spoilt_while_the_store_settles(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """What can't be read is not taken for an entry that lapsed."""
    health.record_failure("away", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((spoilt("a", 8), entry("b", 2)), 9, 15.0)
    assert ids(directory) == {"b"}


def test_entry_of_an_unknown_service_does_not_replace_who_has_its_address(
    directory: TargetDirectory,
) -> None:
    """Symptom: a live target got no more requests.

    Sequence: another writer's entry, well formed but for a service that nobody
    declared, named the target's address.
    Cause: whoever registered last at an address counted as having it.
    """
    directory.adopt_changes((entry("c", 3, service="nobody's", address="b:1"),), 3, 1.0)
    directory.adopt_changes((entry("d", 4, address="c:1"),), 4, 1.0)
    assert directory.may_send("b", 1.0)
    assert directory.may_send("d", 1.0)


def test_service_that_is_declared_later_has_its_targets(
    directory: TargetDirectory,
) -> None:
    """The address of a target that is gone goes to one of a service just declared."""
    directory.adopt_changes((entry("c", 3, service="new", address="b:1"),), 3, 1.0)
    assert directory.may_send("b", 1.0)
    directory.set_services({"desk", "new"}, 2.0)
    assert not directory.may_send("b", 2.0)
    assert directory.may_send("c", 2.0)
