"""Queues as targets come, change and go."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from swiftpin.config.profile import Profile
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.ownership.group_id import GroupId

GROUP = GroupId(service="desk", group=0)
TARGET = TargetSpec(id="t1", address="127.0.0.1:1", zone="a")
PROFILE = Profile(name="p")


@pytest.fixture
def queues() -> TargetQueues:
    """Return no queues yet."""
    return TargetQueues(Random(1))


def test_target_keeps_its_queue(queues: TargetQueues) -> None:
    """The same declarations, or equal ones read again, give the same queue."""
    first = queues.queue_of("desk", TARGET, PROFILE, GROUP)
    assert queues.queue_of("desk", TARGET, PROFILE, GROUP) is first
    assert queues.queue_of("desk", replace(TARGET), PROFILE, GROUP) is first


def test_changed_limits_give_a_new_queue(queues: TargetQueues) -> None:
    """A queue whose limits changed is replaced; requests in the old one go on."""
    first = queues.queue_of("desk", TARGET, PROFILE, GROUP)
    second = queues.queue_of("desk", replace(TARGET, slots=5), PROFILE, GROUP)
    assert second is not first
    assert second.settings.slots == 5
    assert first.close_reason is None


def test_lost_group_closes_only_its_queues(queues: TargetQueues) -> None:
    """Queues of other groups stay open."""
    other = GroupId(service="desk", group=1)
    lost = queues.queue_of("desk", TARGET, PROFILE, GROUP)
    kept = queues.queue_of("desk", replace(TARGET, id="t2"), PROFILE, other)
    queues.close_group(GROUP, CloseReason.LEASE_LOST)
    assert lost.close_reason is CloseReason.LEASE_LOST
    assert kept.close_reason is None


def test_removed_target_loses_its_queue(queues: TargetQueues) -> None:
    """A target that is not declared any more refuses what waits for it."""
    lost = queues.queue_of("desk", TARGET, PROFILE, GROUP)
    kept = queues.queue_of("desk", replace(TARGET, id="t2"), PROFILE, GROUP)
    service = Service(
        name="desk", profile="p", keyed=True, targets_by_id={"t2": TARGET}
    )
    queues.forget_removed({"desk": service})
    assert lost.close_reason is CloseReason.TARGET_LEAVING
    assert kept.close_reason is None
    queues.forget_removed({})
    assert kept.close_reason is CloseReason.TARGET_LEAVING
