"""Tests of the lookup of a key's owner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.exceptions import NoOwnerError, QueueFullError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.notices.backoff_decision import ELSEWHERE_RETRY_AFTER
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.platform.request_head import RequestHead
from swiftpin.router import owner_finder
from swiftpin.router.backoff_waits import BackoffWaits
from swiftpin.router.call import Call
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.owner_finder import OwnerFinder
from swiftpin.router.step_failure import StepFailure

KEY = 7


class Directory:
    """Fake directory of targets that may receive requests."""

    def __init__(self) -> None:
        self.reachable = {"a", "b"}

    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether a request may go to a target."""
        return target_id in self.reachable

    def serving_targets(self, service: str, now: float) -> list[SimpleNamespace]:
        """Return the targets of a service."""
        return [SimpleNamespace(id="a"), SimpleNamespace(id="b")]


class FinderSetup:
    """An owner finder with its directory and key maps."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.maps = KeyMaps()
        self.may_move_keys = True
        self.backoffs = TargetBackoffs()
        self.finder = OwnerFinder(
            configuration=ConfigurationHolder(),
            directory=cast("Any", self.directory),
            maps=self.maps,
            backoffs=self.backoffs,
            backoff_waits=BackoffWaits(
                directory=cast("Any", self.directory), backoffs=self.backoffs
            ),
            may_move_keys=lambda: self.may_move_keys,
        )

    def set_owner(self, owner: str, number: int) -> None:
        """Adopt a key map in which one target owns all keys."""
        self.maps.adopt(
            KeyMap(service="desk", term=1, number=number, firsts=(0,), owners=(owner,))
        )


def make_call(key: int | None = KEY) -> Call:
    """Return a call that starts now on the event loop's clock."""
    now = asyncio.get_running_loop().time()
    route = Route(
        name="r",
        host="desk.example",
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        timeout=1.0,
        objective=0.5,
        priority=1,
        max_attempts=2,
        weighted_services=(WeightedService(service="desk", weight=1.0),),
    )
    return Call(
        request=cast("Any", None),
        head=RequestHead(id="q1", deadline=1.0, key=key),
        route=route,
        service="desk",
        body=cast("Any", None),
        started_at=now,
        ends_at=now + 5.0,
    )


@pytest.fixture(name="found")
def found_fixture(monkeypatch: pytest.MonkeyPatch) -> FinderSetup:
    """Return a finder whose wait for an owner does not end during a test."""
    monkeypatch.setattr(owner_finder, "MAX_OWNER_WAIT", 5.0)
    return FinderSetup()


async def test_owner_in_the_map_is_found(found: FinderSetup) -> None:
    """A request whose key has an owner does not wait."""
    found.set_owner("a", 1)
    assert await found.finder.async_find(make_call()) == "a"


async def test_request_without_a_key_has_no_owner(found: FinderSetup) -> None:
    """A keyed service can't serve a request without a key."""
    with pytest.raises(NoOwnerError):
        await found.finder.async_find(make_call(None))


async def test_request_waits_while_its_key_is_being_moved(found: FinderSetup) -> None:
    """A request that arrives while its key is being moved goes to the new owner."""
    found.set_owner("", 1)
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    found.set_owner("b", 2)
    assert await task == "b"


async def test_owner_that_left_gets_no_requests(found: FinderSetup) -> None:
    """Failure: requests went to a target whose drain time was over.

    The key map still named the target as the owner of a key, and the target's state was
    not checked.
    """
    found.set_owner("a", 1)
    found.directory.reachable.remove("a")
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    assert not task.done()
    found.set_owner("b", 2)
    assert await task == "b"


async def test_request_does_not_wait_for_an_owner_that_can_not_come(
    found: FinderSetup,
) -> None:
    """Guards against callers that wait although the key's owner left for good."""
    found.set_owner("a", 1)
    found.directory.reachable.remove("a")
    found.may_move_keys = False
    async with asyncio.timeout(1.0):
        with pytest.raises(NoOwnerError) as caught:
            await found.finder.async_find(make_call())
    assert caught.value.retry_after == owner_finder.NO_OWNER_RETRY_AFTER


async def test_request_waits_while_its_key_moves_without_the_store(
    found: FinderSetup,
) -> None:
    """Guards against rejections while a move that was recorded ends."""
    found.set_owner("", 1)
    found.may_move_keys = False
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    found.set_owner("b", 2)
    assert await task == "b"


async def test_wait_for_an_owner_is_limited(
    found: FinderSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the key stays without an owner, the error tells when to retry."""
    monkeypatch.setattr(owner_finder, "MAX_OWNER_WAIT", 0.0)
    found.set_owner("", 1)
    with pytest.raises(NoOwnerError) as caught:
        await found.finder.async_find(make_call())
    assert caught.value.retry_after == owner_finder.NO_OWNER_RETRY_AFTER


async def test_request_waits_for_the_end_of_a_short_backoff(
    found: FinderSetup,
) -> None:
    """Guards against callers that are rejected for a pause of a moment."""
    found.set_owner("a", 1)
    found.backoffs.record("a", 0.1, suspend_aware_now())
    assert await found.finder.async_find(make_call()) == "a"
    assert not found.backoffs.remaining("a", suspend_aware_now())


async def test_request_waiting_for_its_owner_goes_to_the_new_one(
    found: FinderSetup,
) -> None:
    """Guards against waits for a target whose keys have moved."""
    found.set_owner("a", 1)
    found.backoffs.record("a", 0.35, suspend_aware_now())
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    found.set_owner("b", 2)
    assert await task == "b"
    assert found.backoffs.remaining("a", suspend_aware_now())


async def test_request_is_rejected_at_once_during_a_long_backoff(
    found: FinderSetup,
) -> None:
    """Guards against callers that wait while another instance could serve them."""
    found.set_owner("a", 1)
    found.backoffs.record("a", 3.0, suspend_aware_now())
    call = make_call()
    with pytest.raises(QueueFullError) as caught:
        await found.finder.async_find(call)
    assert caught.value.retry_after == ELSEWHERE_RETRY_AFTER
    assert call.step_failures == [StepFailure.BACKOFF]


def test_request_is_withdrawn_when_its_owner_asks_for_a_backoff(
    found: FinderSetup,
) -> None:
    """Guards against permits for a target that must not be called."""
    found.set_owner("a", 1)
    call = cast("Any", SimpleNamespace(service="desk", head=SimpleNamespace(key=KEY)))
    assert found.finder.is_owner(call, "a")
    found.backoffs.record("a", 3.0, suspend_aware_now())
    assert not found.finder.is_owner(call, "a")


async def test_owner_that_failed_is_tried_again_after_a_pause(
    found: FinderSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The key map may change before the same owner is tried again."""
    monkeypatch.setattr(owner_finder, "SAME_TARGET_PAUSE", 5.0)
    found.set_owner("a", 1)
    call = make_call()
    call.failed_target = "a"
    task = asyncio.ensure_future(found.finder.async_find(call))
    await asyncio.sleep(0)
    assert not task.done()
    found.set_owner("b", 2)
    assert await task == "b"
