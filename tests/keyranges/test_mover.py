"""Tests of releasing and granting keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    GrantRefusedError,
    TargetNotReachedError,
    TargetReplacedError,
    TargetUnreachableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import KeyGrant
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import make_target

HOLD = 0.8
"""Hold time, in seconds, of the former owner's grant in these tests."""

SEGMENT = Segment(first=0, last=9, owner="b", fence=5, former_owner="a")


class ReleaseControl:
    """Records releases and answers them, or raises the error that a test sets."""

    def __init__(self) -> None:
        self.make_error: Callable[[], Exception] | None = None
        self.releases = 0
        self.addresses: list[str] = []
        self.fences: list[int] = []

    async def async_release(
        self, address: str, target_id: str, grant: KeyGrant, **rest: object
    ) -> str | None:
        """Return a handover or raise an error."""
        self.releases += 1
        self.addresses.append(address)
        self.fences.append(grant.fence)
        if self.make_error is not None:
            raise self.make_error()
        return "handover"


@pytest.fixture(name="control")
def control_fixture() -> ReleaseControl:
    """Return a control whose releases are answered."""
    return ReleaseControl()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory that knows the former owner."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    directory.targets_by_id["a"] = make_target("a")
    return directory


@pytest.fixture(name="granter")
def granter_fixture(
    control: ReleaseControl, directory: TargetDirectory, sessions: TargetSessions
) -> Granter:
    """Return a granter that uses the control."""
    return Granter(
        control=cast(TargetControl, control),
        sessions=sessions,
        directory=directory,
        health_path="/health",
        fences=Fences(),
        term=1,
        regular_hold=lambda: MIN_REGULAR_HOLD,
    )


@pytest.fixture(name="session")
def session_fixture(sessions: TargetSessions) -> TargetSession:
    """Return the session with the former owner, which has a short grant."""
    session = sessions.get_or_create("a")
    session.note_grant(suspend_aware_now(), HOLD)
    return session


@pytest.fixture(name="mover")
def mover_fixture(
    granter: Granter, sessions: TargetSessions, directory: TargetDirectory
) -> Mover:
    """Return a mover that uses the granter."""
    return Mover(
        granter=granter,
        sessions=sessions,
        directory=directory,
        max_request_time=lambda: 1.0,
    )


async def test_refused_connections_do_not_free_keys(
    mover: Mover, control: ReleaseControl, session: TargetSession
) -> None:
    """Guards against granting a key while its former owner still serves requests.

    A target at its connection limit or a broken link may refuse the assigner's
    connections while other instances still send requests to the target. The expiry of
    its grants must be awaited.
    """
    control.make_error = lambda: TargetNotReachedError("a: Connection refused")
    assert await mover.async_release_former_owner(SEGMENT, None) is None
    assert suspend_aware_now() >= session.held_until
    assert control.releases > 3
    assert not session.is_gone


async def test_release_that_is_answered_with_a_conflict_frees_no_keys(
    mover: Mover, control: ReleaseControl, session: TargetSession
) -> None:
    """Guards against two targets that hold the same keys.

    Only a grant can be answered with a conflict. As an answer to a release, it does not
    prove that the target holds no keys and runs no requests.
    """
    control.make_error = lambda: GrantRefusedError("a has seen a higher fence")
    assert await mover.async_release_former_owner(SEGMENT, None) is None
    assert suspend_aware_now() >= session.held_until


async def test_another_target_at_the_address_frees_keys_immediately(
    mover: Mover, control: ReleaseControl, session: TargetSession
) -> None:
    """A target is known to have terminated once another answers at its address."""
    control.make_error = lambda: TargetReplacedError("c answers at a:1")
    assert await mover.async_release_former_owner(SEGMENT, None) is None
    assert control.releases == 1
    assert suspend_aware_now() < session.held_until


async def test_release_is_sent_to_an_address_with_a_newer_entry(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    directory: TargetDirectory,
) -> None:
    """Guards against two targets that hold the same keys.

    Another writer may register a target at a running target's address. The running
    target still holds its keys, so the release must be sent to it.
    """
    directory.replaced_ids.add("a")
    assert await mover.async_release_former_owner(SEGMENT, None) == "handover"
    assert control.addresses == ["a:1"]
    assert not session.is_gone


async def test_answered_release_returns_the_handover(
    mover: Mover, session: TargetSession
) -> None:
    """The former owner's answer frees its keys before its grants expire."""
    assert await mover.async_release_former_owner(SEGMENT, None) == "handover"
    assert suspend_aware_now() < session.held_until


def add_life(directory: TargetDirectory, started_ms: int, address: str) -> None:
    """Add a later life of target a to the directory."""
    earlier_life = directory.targets_by_id["a"]
    life = TargetLife(name="a", started_ms=started_ms)
    directory.targets_by_id[life.id] = replace(earlier_life, life=life, address=address)
    directory.replaced_ids.add("a")


@pytest.mark.parametrize("address", ["a:1", "a:2"])
async def test_later_life_answers_for_the_earlier_one(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    directory: TargetDirectory,
    address: str,
) -> None:
    """Guards against two targets that hold the same keys, and against a needless wait.

    A renewal under a new fence may have reached the new life of a restarted target
    before its restart was known. So the release must be sent to the new life, whose
    answer frees the keys.
    """
    add_life(directory, 2, address)
    assert await mover.async_release_former_owner(SEGMENT, None) == "handover"
    assert control.addresses == [address]
    assert suspend_aware_now() < session.held_until


async def test_grants_of_a_silent_later_life_are_awaited(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    directory: TargetDirectory,
) -> None:
    """Grants may have reached the later life, so their expiry must be awaited."""
    add_life(directory, 2, "a:1")
    control.make_error = lambda: TargetUnreachableError("a: no answer")
    assert await mover.async_release_former_owner(SEGMENT, None) is None
    assert suspend_aware_now() >= session.held_until


async def test_entry_with_another_targets_address_frees_no_keys(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    directory: TargetDirectory,
) -> None:
    """Guards against two targets that hold the same keys.

    Another writer may register a later life of a running target at a third target's
    address. The third target's answer does not prove that the running one has
    terminated.
    """
    add_life(directory, 2, "c:1")
    control.make_error = lambda: TargetReplacedError("c answers at c:1")
    assert await mover.async_release_former_owner(SEGMENT, None) is None
    assert suspend_aware_now() >= session.held_until


async def test_release_is_sent_to_a_life_that_registers_during_the_wait(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    directory: TargetDirectory,
) -> None:
    """The release is sent to a later life as soon as the directory knows it."""
    earlier_life = directory.targets_by_id.pop("a")
    task = asyncio.create_task(mover.async_release_former_owner(SEGMENT, None))
    await asyncio.sleep(0)
    assert not control.addresses
    directory.targets_by_id["a"] = earlier_life
    add_life(directory, 2, "a:2")
    del directory.targets_by_id["a"]
    assert await task == "handover"
    assert suspend_aware_now() < session.held_until


async def test_release_has_a_fence_above_all_earlier_grants(
    mover: Mover, granter: Granter, control: ReleaseControl, session: TargetSession
) -> None:
    """Guards against a delayed grant that takes effect after the release of its keys.

    A renewal may allocate a fence after the move was planned, so the release needs a
    fence of its own, above that of the renewal.
    """
    earlier_fence = granter.allocate_fence()
    await mover.async_release_former_owner(SEGMENT, None)
    assert control.fences[0] > earlier_fence
    assert suspend_aware_now() < session.held_until


async def test_failed_release_is_logged_when_its_outcome_changes(
    mover: Mover,
    control: ReleaseControl,
    session: TargetSession,
    lines: list[dict[str, Any]],
) -> None:
    """Guards against a log line per attempt to release keys at a silent target."""
    errors = [TargetNotReachedError("refused"), TargetUnreachableError("lost")]
    control.make_error = lambda: errors[control.releases > 2]
    await mover.async_release_former_owner(SEGMENT, None)
    failure_lines = [line for line in lines if line["message_type"] == "release_failed"]
    assert control.releases > 3
    outcomes = [line["outcome"] for line in failure_lines]
    assert outcomes == ["not sent", "unanswered", "needless"]
