"""Tests of the choice of a key's owner."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from swiftpin.exceptions import NoOwnerError
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.platform.request_head import RequestHead
from swiftpin.router import owner_finder
from swiftpin.router.call import Call
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.owner_finder import OwnerFinder

KEY = 7


class Directory:
    """Knows which targets may get requests."""

    def __init__(self) -> None:
        self.reachable = {"a", "b"}

    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether a request may go to a target."""
        return target_id in self.reachable


class FinderSetup:
    """An owner finder and what it looks at."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.maps = KeyMaps()
        self.finder = OwnerFinder(
            configuration=ConfigurationHolder(),
            directory=cast("Any", self.directory),
            maps=self.maps,
        )

    def set_owner(self, owner: str, number: int) -> None:
        """Take a map in which a target owns all keys."""
        self.maps.adopt(
            KeyMap(service="desk", term=1, number=number, firsts=(0,), owners=(owner,))
        )


def make_call(key: int | None = KEY) -> Call:
    """Return a call of the running event loop's time."""
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
    """Return a finder that waits for owners as long as the tests let it."""
    monkeypatch.setattr(owner_finder, "MAX_OWNER_WAIT", 5.0)
    return FinderSetup()


async def test_owner_in_the_map_is_found(found: FinderSetup) -> None:
    """A key that has an owner waits for nothing."""
    found.set_owner("a", 1)
    assert await found.finder.async_find(make_call()) == "a"


async def test_request_without_a_key_has_no_owner(found: FinderSetup) -> None:
    """A keyed service can't serve a request that names no key."""
    with pytest.raises(NoOwnerError):
        await found.finder.async_find(make_call(None))


async def test_key_on_the_move_is_waited_for(found: FinderSetup) -> None:
    """A request that comes during a move goes to the new owner."""
    found.set_owner("", 1)
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    found.set_owner("b", 2)
    assert await task == "b"


async def test_owner_that_left_gets_no_requests(found: FinderSetup) -> None:
    """Symptom: requests go to a target whose drain time is over.

    Sequence: the owner of a key leaves; the map still names it.
    Cause: the map was believed without a look at the target's state.
    """
    found.set_owner("a", 1)
    found.directory.reachable.remove("a")
    task = asyncio.ensure_future(found.finder.async_find(make_call()))
    await asyncio.sleep(0)
    assert not task.done()
    found.set_owner("b", 2)
    assert await task == "b"


async def test_wait_for_an_owner_is_limited(
    found: FinderSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A key that stays without owner is given up, with a time to come back."""
    monkeypatch.setattr(owner_finder, "MAX_OWNER_WAIT", 0.0)
    found.set_owner("", 1)
    with pytest.raises(NoOwnerError) as caught:
        await found.finder.async_find(make_call())
    assert caught.value.retry_after == owner_finder.NO_OWNER_RETRY_AFTER


async def test_owner_that_failed_is_tried_again_after_a_pause(
    found: FinderSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The map is given a moment to change before the same owner is tried again."""
    monkeypatch.setattr(owner_finder, "SAME_TARGET_PAUSE", 5.0)
    found.set_owner("a", 1)
    call = make_call()
    call.failed_target = "a"
    task = asyncio.ensure_future(found.finder.async_find(call))
    await asyncio.sleep(0)
    assert not task.done()
    found.set_owner("b", 2)
    assert await task == "b"
