"""Tests of the stand-in store's objects and history."""

from __future__ import annotations

import pytest

from swiftpin.standins.store_state import StoreState
from swiftpin.standins.write_condition import ABSENT, WriteCondition

ANY = WriteCondition(version=None)
NOW = float("inf")


@pytest.fixture
def state() -> StoreState:
    """Return a state with two objects, written at times 1 and 2."""
    state = StoreState(history=3)
    state.put("a/1", b"one", ANY, 1.0)
    state.put("a/2", b"two", ANY, 2.0)
    return state


def test_versions_are_the_global_revision(state: StoreState) -> None:
    """Each write raises the one revision."""
    assert (state.version_of("a/1"), state.version_of("a/2"), state.revision) == (
        1,
        2,
        2,
    )


def test_create_fails_on_an_object_that_exists(state: StoreState) -> None:
    """`If-None-Match: *` writes nothing over an object."""
    assert state.put("a/1", b"x", WriteCondition(version=ABSENT), 3.0) is None


def test_replace_fails_on_another_version(state: StoreState) -> None:
    """`If-Match` writes at exactly its version."""
    assert state.put("a/1", b"x", WriteCondition(version=2), 3.0) is None
    assert state.put("a/1", b"x", WriteCondition(version=1), 3.0) == 3


def test_old_snapshot_undoes_later_changes(state: StoreState) -> None:
    """A snapshot of a past time has its revision, too."""
    state.put("a/1", b"new", ANY, 3.0)
    state.delete("a/2", ANY, 4.0)
    snapshot = state.snapshot("a/", 2.5)
    bodies = {name: item.body for name, item in snapshot.versions_by_name.items()}
    assert bodies == {"a/1": b"one", "a/2": b"two"}
    assert snapshot.revision == 2


def test_old_get_shows_what_stood_then(state: StoreState) -> None:
    """One object is undone like a snapshot."""
    state.put("a/1", b"new", ANY, 3.0)
    old, present = state.get("a/1", 1.5), state.get("a/1", NOW)
    assert old is not None
    assert present is not None
    assert (old.body, present.body) == (b"one", b"new")
    assert state.get("a/1", 0.5) is None


def test_changes_after_a_forgotten_revision_are_unknown(state: StoreState) -> None:
    """History is bounded; what is kept is complete."""
    state.put("a/3", b"x", ANY, 3.0)
    state.put("b/1", b"x", ANY, 4.0)
    assert state.changes_after("a/", 0) is None
    changes = state.changes_after("a/", 1)
    assert changes is not None
    assert [change.version for change in changes] == [2, 3]


def test_changes_after_a_future_revision_are_unknown(state: StoreState) -> None:
    """A revision never reached stems from another store."""
    assert state.changes_after("a/", 3) is None
