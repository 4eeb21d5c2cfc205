"""Tests of targets that announce in their answers that they are leaving."""

from __future__ import annotations

import pytest

from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.discovery.target_directory import TargetDirectory
from tests.discovery.conftest import DRAIN, entry


@pytest.fixture(name="drains")
def drains_fixture(directory: TargetDirectory) -> AnnouncedDrains:
    """Return the announcements that a directory of two targets considers."""
    return directory.announced_drains


def test_announcement_ends_sends_after_the_drain_time(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against requests after the drain time while the store knows nothing."""
    drains.record_announcement("a", 10.0)
    drains.record_announcement("a", 11.0)
    assert directory.may_send("a", 10.0 + DRAIN - 0.01)
    assert not directory.may_send("a", 10.0 + DRAIN)
    assert directory.may_send("b", 10.0 + DRAIN)


@pytest.mark.parametrize("revision", [1, 9], ids=["older", "newer"])
def test_entry_that_says_ready_does_not_take_an_announcement_back(
    directory: TargetDirectory, drains: AnnouncedDrains, revision: int
) -> None:
    """Guards against an entry that was written before the answer and is read after."""
    drains.record_announcement("a", 10.0)
    drains.record_announcement("a", 10.1)
    directory.adopt_changes((entry("a", revision),), 9, 10.5)
    directory.adopt_list((entry("a", revision), entry("b", 2)), 9, 10.6)
    assert directory.is_leaving("a")
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_new_life_starts_afresh(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against a restarted target that is held to what its last life said."""
    directory.adopt_changes((entry("a", 3, born=1),), 3, 1.0)
    drains.record_announcement("a@1", 10.0)
    drains.record_announcement("a@1", 10.1)
    directory.adopt_changes((entry("a", 4, born=2),), 4, 11.0)
    assert directory.is_leaving("a@1")
    assert not directory.is_leaving("a@2")
    assert directory.may_send("a@2", 10.0 + DRAIN)


def test_late_answer_of_an_earlier_life_marks_that_life_only(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against a sound target that is lost for an answer of its last life."""
    directory.adopt_changes((entry("a", 3, born=1),), 3, 1.0)
    directory.adopt_changes((entry("a", 4, born=2),), 4, 11.0)
    drains.record_announcement("a@1", 12.0)
    drains.record_announcement("a@1", 12.1)
    assert not directory.is_leaving("a@2")
    assert directory.may_send("a@2", 20.0)


def test_single_announcement_moves_no_keys(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against one spoilt answer that takes a sound target from all."""
    unconfirmed: list[str] = []
    drains.on_unconfirmed = unconfirmed.append
    drains.record_announcement("a", 10.0)
    assert unconfirmed == ["a"]
    assert not directory.is_leaving("a")
    drains.record_announcement("a", 10.1)
    assert directory.is_leaving("a")
    assert [it.id for it in directory.serving_targets("desk", 10.2)] == ["b"]
    assert [it.id for it in directory.retiring_targets("desk", 10.2)] == ["a"]


def test_later_answer_without_it_refutes_a_single_announcement(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against a spoilt answer that takes a target from its instance for good."""
    drains.record_announcement("a", 10.0)
    drains.record_absence("a", 9.9)
    assert not directory.may_send("a", 10.0 + DRAIN)
    drains.record_absence("a", 10.1)
    assert directory.may_send("a", 10.0 + DRAIN)
    assert not drains.is_unconfirmed("a")


def test_confirmed_announcement_is_not_refuted(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against requests after the drain time since one answer lacked it."""
    drains.record_announcement("a", 10.0)
    drains.record_announcement("a", 10.1)
    drains.record_absence("a", 10.2)
    assert directory.is_leaving("a")
    assert not directory.may_send("a", 10.0 + DRAIN)


def test_report_of_another_instance_ends_new_work_but_no_sends(
    directory: TargetDirectory, drains: AnnouncedDrains
) -> None:
    """Guards against keys that nobody serves since one instance was told early."""
    assert drains.record_report("a")
    assert not drains.record_report("a")
    assert directory.is_leaving("a")
    assert directory.may_send("a", 100.0)
    drains.record_announcement("a", 100.0)
    assert not directory.may_send("a", 100.0 + DRAIN)


def test_announcements_of_lives_that_are_gone_are_dropped(
    drains: AnnouncedDrains,
) -> None:
    """Guards against memory that grows with each target that leaves."""
    drains.record_announcement("a", 10.0)
    drains.record_report("b")
    drains.retain_targets({"c"})
    assert not drains.count()
    assert not drains.confirmed_ids
