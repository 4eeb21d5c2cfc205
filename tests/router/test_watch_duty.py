"""Tests of which instances watch the store for the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.router.watch_duty import (
    CONFIGURATION_WATCHERS as WATCHERS,
)
from swiftpin.router.watch_duty import (
    MAX_RETRY_DELAY,
    MIN_WATCHERS,
    SMALL_FLEET_SIZE,
    VERSION_SETTLE_TIME,
    WatchDuty,
    choose_configuration_watchers,
)

MakeDuty = Callable[..., WatchDuty]


def make_link(name: str, targets: int = 10, *, leads: bool = False) -> PeerLink:
    """Return a link to an instance that knows a version of the targets."""
    now = asyncio.get_running_loop().time()
    link = PeerLink(cast(LinkHandler, None), now, is_outgoing=True)
    link.incarnation = name
    link.heartbeat = pb.Heartbeat(targets=targets, leads=leads)
    return link


@pytest.fixture(name="directory")
def directory_fixture() -> SimpleNamespace:
    """Return a directory of which only the version matters."""
    return SimpleNamespace(version=10)


@pytest.fixture(name="health")
def health_fixture() -> StoreHealth:
    """Return a store that answers."""
    return StoreHealth()


@pytest.fixture(name="links")
def links_fixture() -> SimpleNamespace:
    """Return links, none yet."""
    return SimpleNamespace(outgoing_by_peer={})


@pytest.fixture(name="make_duty")
def make_duty_fixture(
    directory: SimpleNamespace, health: StoreHealth, links: SimpleNamespace
) -> MakeDuty:
    """Return a function that makes the duty of an instance of a fleet."""

    def make(
        name: str,
        members: int,
        issuers: int,
        *,
        holds_lease: bool = False,
        watchers: Callable[[Iterable[str]], set[str]] = choose_configuration_watchers,
    ) -> WatchDuty:
        peers = {f"issuer-{number}": "" for number in range(issuers)}
        lists = SimpleNamespace(members=members, peers_by_incarnation=peers)
        rest: dict[str, Any] = {
            "links": links,
            "lease": SimpleNamespace(is_held=lambda now: holds_lease),
            "permits": SimpleNamespace(issuers=lists),
            "health": health,
        }
        return WatchDuty(
            incarnation=name,
            known_version=lambda: directory.version,
            announced_version=lambda heartbeat: int(heartbeat.targets),
            choose_watchers=watchers,
            **rest,
        )

    return make


@pytest.fixture(name="duty")
def duty_fixture(make_duty: MakeDuty) -> WatchDuty:
    """Return the duty of a member of a large fleet that issues nothing."""
    return make_duty("me", SMALL_FLEET_SIZE + 1, WATCHERS + 1)


def link_all(links: SimpleNamespace, issuers: int, *, targets: int = 10) -> None:
    """Link an instance to the holder of the lease and to all issuers."""
    names = [f"issuer-{number}" for number in range(issuers)]
    links.outgoing_by_peer = {name: make_link(name, targets) for name in names}
    links.outgoing_by_peer["holder"] = make_link("holder", targets, leads=True)


@pytest.mark.parametrize("members", [30, 100, 300])
async def test_number_of_watches_does_not_grow_with_the_fleet(
    make_duty: MakeDuty, links: SimpleNamespace, members: int
) -> None:
    """Each change of a large fleet was answered to every instance's own watch."""
    issuers = members // 10
    link_all(links, issuers)
    names = [f"issuer-{number}" for number in range(issuers)]
    names += [f"other-{number}" for number in range(members - issuers)]
    duties = [make_duty(name, members, issuers) for name in names]
    assert sum(not duty.is_skipped() for duty in duties) <= WATCHERS
    assert not make_duty("holder", members, issuers, holds_lease=True).is_skipped()


async def test_all_watch_in_a_small_fleet(
    make_duty: MakeDuty, links: SimpleNamespace
) -> None:
    """A few more calls cost less there than news that come late."""
    link_all(links, WATCHERS)
    assert not make_duty("me", SMALL_FLEET_SIZE, WATCHERS).is_skipped()


async def test_issuers_that_do_not_watch_are_not_relied_on(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """Instances that watch nothing could assure each other that nothing is new."""
    names = [f"issuer-{number}" for number in range(WATCHERS, WATCHERS + 5)]
    links.outgoing_by_peer = {name: make_link(name) for name in names}
    assert not duty.is_skipped()


async def test_version_just_told_does_not_make_a_member_watch(
    duty: WatchDuty, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """All of a large fleet watched whenever the last heartbeats were a little older."""
    link_all(links, WATCHERS)
    duty.update_settled_version(100.0)
    directory.version = 12
    assert duty.is_skipped()


async def test_watchers_that_stay_behind_are_not_relied_on(
    duty: WatchDuty, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Who does not learn of targets can't tell of them."""
    link_all(links, WATCHERS)
    directory.version = 12
    for number in range(3):
        duty.update_settled_version(100.0 + number * VERSION_SETTLE_TIME)
    assert not duty.is_skipped()


async def test_member_watches_when_its_watchers_have_lost_the_store(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """A store that turned the watchers away kept changes from the whole fleet."""
    link_all(links, WATCHERS)
    watchers = list(links.outgoing_by_peer.values())
    for link in watchers[: len(watchers) - MIN_WATCHERS + 1]:
        link.heartbeat.store_lost = True
    assert not duty.is_skipped()


async def test_member_watches_when_its_watchers_fall_silent(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """Watchers that froze or were cut off kept changes from the whole fleet."""
    link_all(links, WATCHERS)
    for link in links.outgoing_by_peer.values():
        link.last_received_at -= 1.0
    assert not duty.is_skipped()


async def test_member_that_lost_the_store_watches_until_it_is_answered(
    duty: WatchDuty, links: SimpleNamespace, health: StoreHealth
) -> None:
    """A member that stopped calling counted its store as lost for ever."""
    link_all(links, WATCHERS)
    health.note_failure("away", 10.0)
    assert not duty.is_skipped()
    health.note_answer(12.0)
    assert duty.is_skipped()


@pytest.mark.parametrize("members", [30, 100, 300])
async def test_watchers_alone_try_a_silent_store_at_the_usual_pace(
    make_duty: MakeDuty, members: int
) -> None:
    """Hundreds of instances that each tried again every second were too many."""
    assert make_duty("me", members, WATCHERS).longest_pause(1.0) == MAX_RETRY_DELAY
    assert make_duty("issuer-0", members, WATCHERS).longest_pause(1.0) == 1.0
    holder = make_duty("me", members, WATCHERS, holds_lease=True)
    assert holder.longest_pause(1.0) == 1.0


async def test_all_issuers_watch_the_targets(
    make_duty: MakeDuty, links: SimpleNamespace
) -> None:
    """Issuers that learnt late of leaving targets gave no slots of them any more."""
    issuers = WATCHERS + 4
    link_all(links, issuers)
    names = [f"issuer-{number}" for number in range(issuers)]
    duties = [make_duty(name, 100, issuers, watchers=set) for name in names]
    assert not any(duty.is_skipped() for duty in duties)
    assert make_duty("me", 100, issuers, watchers=set).is_skipped()
