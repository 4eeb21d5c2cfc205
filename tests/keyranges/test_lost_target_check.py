"""Tests of lost targets that answer again."""

from __future__ import annotations

from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.lost_target_check import LostTargetCheck
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import SILENCE_TIMEOUT
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import make_target

LOST_AT = 100.0
NOW = LOST_AT + SILENCE_TIMEOUT


class NamedAddresses:
    """Addresses at which targets answer."""

    def __init__(self) -> None:
        self.names_by_address: dict[str, str] = {}
        self.asked: list[str] = []

    async def async_identify(
        self, address: str, health_path: str, *, limit: float
    ) -> str | None:
        """Return the name of the target at an address."""
        self.asked.append(address)
        return self.names_by_address.get(address)


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory of three targets."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    for name in ("a", "b", "c"):
        directory.targets_by_id[name] = make_target(name)
    return directory


@pytest.fixture(name="addresses")
def addresses_fixture() -> NamedAddresses:
    """Return addresses at which nobody answers."""
    return NamedAddresses()


@pytest.fixture(name="check")
def check_fixture(
    directory: TargetDirectory, sessions: TargetSessions, addresses: NamedAddresses
) -> LostTargetCheck:
    """Return a check where `a` owns all keys, and `a` and `b` are lost."""
    state = AssignmentState()
    state.assignment = Assignment(
        segments=(Segment(first=0, last=65535, owner="a", fence=1),)
    )
    for name in ("a", "b"):
        sessions.get_or_create(name).note_failure(LOST_AT)
    return LostTargetCheck(
        service="desk",
        state=state,
        sessions=sessions,
        directory=directory,
        control=cast(TargetControl, addresses),
        health_path="/health",
    )


async def test_lost_target_without_keys_gets_keys_again_once_it_answers(
    check: LostTargetCheck, sessions: TargetSessions, addresses: NamedAddresses
) -> None:
    """Guards against targets that stay without keys until the next assigner."""
    await check.async_check(NOW)
    assert sessions.is_lost("b", NOW)
    addresses.names_by_address["b:1"] = "b"
    await check.async_check(NOW)
    assert not sessions.is_lost("b", NOW)


async def test_only_lost_targets_without_keys_are_asked(
    check: LostTargetCheck, addresses: NamedAddresses
) -> None:
    """Renewals show whether an owner answers, and each question costs a slot."""
    await check.async_check(NOW)
    assert addresses.asked == ["b:1"]


async def test_lost_target_stays_lost_when_another_one_answers(
    check: LostTargetCheck, sessions: TargetSessions, addresses: NamedAddresses
) -> None:
    """Guards against grants to another target at the address of one that is gone."""
    addresses.names_by_address["b:1"] = "c"
    await check.async_check(NOW)
    assert sessions.is_lost("b", NOW)
