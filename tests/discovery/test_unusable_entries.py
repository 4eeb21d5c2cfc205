"""Tests of target entries that can't be used."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.discovery import unusable_entries
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.platform.platform_object import PlatformObject
from tests.discovery.conftest import DRAIN, entry, ids, removed


def corrupt_entry(name: str, revision: int) -> PlatformObject:
    """Return an entry with unreadable content."""
    return replace(entry(name, revision), document={"specification": 7})


def unreadable_entry() -> PlatformObject:
    """Return an entry with unreadable metadata."""
    return PlatformObject(
        name="", revision=0, is_deleted=False, document={}, is_readable=False
    )


@pytest.fixture(name="reasons")
def reasons_fixture(directory: TargetDirectory) -> list[str]:
    """Return a list that collects the reason of each unusable entry."""
    reasons: list[str] = []
    directory.unusable_entries.on_unusable = reasons.append
    return reasons


def test_corrupt_entries_do_not_affect_others_in_a_list(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """Guards against a list that is rejected because of entries of another writer."""
    directory.adopt_list(
        (
            entry("a", 1),
            corrupt_entry("x", 4),
            unreadable_entry(),
            entry("b", 2),
            entry("c", 5),
        ),
        5,
        1.0,
    )
    assert ids(directory) == {"a", "b", "c"}
    assert reasons == ["field", "metadata"]


def test_known_target_with_a_corrupt_entry_is_leaving(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """Guards against keys granted to a second target while the first holds them.

    This happened if a target with a corrupt entry was removed: its address is needed
    to release its keys.
    """
    directory.adopt_changes((corrupt_entry("a", 4),), 4, 10.0)
    assert ids(directory) == {"b"}
    assert directory.may_send("a", 10.5)
    assert not directory.may_send("a", 10.0 + DRAIN)
    assert directory.targets_by_id["a"].address == "a:1"
    assert [target.id for target in directory.listed_targets()] == ["b"]
    assert reasons == ["field"]


def test_target_with_a_repaired_entry_serves_again(directory: TargetDirectory) -> None:
    """The next report of a target overwrites the entry of another writer."""
    directory.adopt_changes((corrupt_entry("a", 4),), 4, 10.0)
    directory.adopt_changes((entry("a", 5),), 5, 11.0)
    assert ids(directory) == {"a", "b"}
    assert len(directory.listed_targets()) == 2


def test_outdated_corrupt_entry_is_ignored(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """A corrupt entry returned by a lagging watch does not affect newer state."""
    directory.adopt_changes((entry("a", 6),), 6, 10.0)
    directory.adopt_changes((corrupt_entry("a", 4),), 6, 10.1)
    assert ids(directory) == {"a", "b"}
    assert not reasons


def test_target_is_leaving_if_its_entry_has_no_readable_revision(
    directory: TargetDirectory,
) -> None:
    """A valid entry with any later revision restores the target."""
    entry_without_revision = replace(entry("a", 0), is_readable=False)
    directory.adopt_changes((entry_without_revision,), 9, 10.0)
    assert ids(directory) == {"b"}
    directory.adopt_changes((entry("a", 5),), 10, 11.0)
    assert ids(directory) == {"a", "b"}


def test_removal_of_a_corrupt_entry_keeps_the_start_of_leaving(
    directory: TargetDirectory,
) -> None:
    """The drain time counts from the first sign of leaving."""
    directory.adopt_changes((corrupt_entry("a", 4),), 4, 10.0)
    directory.adopt_changes((removed("a", 6),), 6, 11.0)
    assert directory.leaving_since_by_id["a"] == 10.0


def test_entry_that_is_marked_for_deletion_is_missing(
    directory: TargetDirectory,
) -> None:
    """An entry that waits for its finalizers is still in the list."""
    deleting = replace(entry("a", 4), is_deleted=True)
    directory.adopt_list((deleting, entry("b", 2)), 5, 10.0)
    assert ids(directory) == {"b"}


def test_entry_with_a_changed_service_is_unusable(
    directory: TargetDirectory, reasons: list[str]
) -> None:
    """A life serves one service and may hold keys of it."""
    other = entry("a", 4)
    other.document["specification"]["information"]["service"] = "vault"
    directory.adopt_changes((other,), 4, 10.0)
    assert ids(directory) == {"b"}
    assert directory.serving_targets("vault", 10.0) == []
    assert reasons == ["service"]


def test_log_lines_about_corrupt_entries_are_limited(
    directory: TargetDirectory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log flooded with lines about unusable entries.

    Another writer may corrupt hundreds of entries, and each list contains them.
    """
    lines: list[object] = []
    monkeypatch.setattr(
        unusable_entries, "log_message", lambda **fields: lines.append(fields)
    )
    for number in range(50):
        directory.adopt_changes((corrupt_entry(f"x{number}", 10 + number),), 60, 10.0)
    assert len(lines) == unusable_entries.MAX_UNUSABLE_LINES_PER_SECOND


def test_corrupt_entry_while_the_store_settles(
    directory: TargetDirectory, health: StoreHealth
) -> None:
    """A corrupt entry does not count as one that expired during an outage."""
    health.record_failure("unavailable", 10.0)
    health.record_answer(15.0)
    directory.adopt_list((corrupt_entry("a", 8), entry("b", 2)), 9, 15.0)
    assert ids(directory) == {"b"}


@pytest.mark.parametrize("service", ["desk", "undeclared"])
def test_entry_of_any_service_replaces_no_target_at_its_address(
    directory: TargetDirectory, service: str
) -> None:
    """Guards against a live target that gets no more requests.

    This happened if the last target registered at an address replaced the others:
    another writer's entry may name the address of a live target.
    """
    directory.adopt_changes((entry("c", 3, service=service, address="b:1"),), 3, 1.0)
    directory.adopt_changes((entry("d", 4, address="c:1"),), 4, 1.0)
    assert directory.may_send("b", 1.0)
    assert directory.may_send("d", 1.0)
