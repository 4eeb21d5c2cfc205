"""Tests of which session a life of a target has."""

from __future__ import annotations

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.const import HOLD_TIME
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory without targets."""
    return TargetDirectory(StoreHealth(), 2.0)


def make_target(born: int) -> Target:
    """Return a life of target a."""
    return Target(
        life=TargetLife(name="a", started_ms=born),
        service="desk",
        address="a:1",
        zone="z",
        slots=2,
        is_draining=False,
        cold_for=0.0,
        revision=1,
    )


def test_replaced_target_is_gone_unless_it_started_again(
    sessions: TargetSessions, directory: TargetDirectory
) -> None:
    """Symptom: two targets held the same keys.

    Sequence: a target started again; a grant under a new fence reached its new life;
    then its start became known, and its keys were granted on at once.
    Cause: the earlier life was taken for gone with all that was sent to its name.
    """
    directory.replaced_ids.add("a@1")
    assert sessions.of("a@1").is_gone
    for target in (make_target(2), make_target(3)):
        directory.targets_by_id[target.id] = target
    directory.replaced_ids |= {"a@2", "b@1"}
    found = sessions.other_life("a@1")
    assert found is not None
    assert found.id == "a@3"
    directory.replaced_ids.add("a@7")
    assert not sessions.of("a@7").is_gone
    assert sessions.of("b@1").is_gone


def test_sessions_of_lives_that_hold_nothing_are_forgotten(
    sessions: TargetSessions,
) -> None:
    """Each start of a target brings a session; they must not pile up."""
    sessions.of("a@1").note_grant(10.0, HOLD_TIME)
    sessions.of("a@2").note_grant(10.0, HOLD_TIME)
    sessions.forget({"a@2"}, 12.0)
    assert set(sessions._sessions_by_target) == {"a@1", "a@2"}
    sessions.forget({"a@2"}, 20.0)
    assert set(sessions._sessions_by_target) == {"a@2"}
