"""Tests of the sessions with target lives."""

from __future__ import annotations

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.const import MIN_REGULAR_HOLD
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from tests.keyranges.targets import make_target


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory without targets."""
    return TargetDirectory(StoreHealth(), 2.0)


def make_life(started_ms: int) -> Target:
    """Return a life of target a."""
    return make_target("a", started_ms=started_ms)


def test_present_life_is_found(
    sessions: TargetSessions, directory: TargetDirectory
) -> None:
    """Only lives of the same target count; one that is not replaced is preferred."""
    assert sessions.other_life("a@1") is None
    for target in (make_life(2), make_life(3)):
        directory.targets_by_id[target.id] = target
    directory.replaced_ids.add("a@2")
    other_life = sessions.other_life("a@1")
    assert other_life is not None
    assert other_life.id == "a@3"
    assert sessions.other_life("a") is not None
    assert sessions.other_life("aa@1") is None
    assert sessions.other_life("b@1") is None


def test_entry_of_another_target_does_not_mark_a_target_as_gone(
    sessions: TargetSessions, directory: TargetDirectory
) -> None:
    """Guards against two targets that hold the same keys.

    Another writer may register a target at a running target's address. Such an entry
    does not prove that the running target has terminated.
    """
    directory.replaced_ids.add("a@1")
    assert not sessions.get_or_create("a@1").is_gone


def test_sessions_of_lives_without_grants_are_dropped(
    sessions: TargetSessions,
) -> None:
    """Guards against unbounded growth: each start of a target adds a session."""
    sessions.get_or_create("a@1").note_grant(10.0, MIN_REGULAR_HOLD)
    sessions.get_or_create("a@2").note_grant(10.0, MIN_REGULAR_HOLD)
    sessions.prune({"a@2"}, 12.0)
    assert set(sessions._sessions_by_target) == {"a@1", "a@2"}
    sessions.prune({"a@2"}, 20.0)
    assert set(sessions._sessions_by_target) == {"a@2"}
