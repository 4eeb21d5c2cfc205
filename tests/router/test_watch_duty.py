"""Tests of the selection of instances that watch the store."""

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
    """Return a link to an instance that announces a version of the targets."""
    now = asyncio.get_running_loop().time()
    link = PeerLink(cast(LinkHandler, None), now, is_outgoing=True)
    link.incarnation = name
    link.heartbeat = pb.Heartbeat(targets=targets, leads=leads)
    return link


@pytest.fixture(name="directory")
def directory_fixture() -> SimpleNamespace:
    """Return a fake directory with a version."""
    return SimpleNamespace(version=10)


@pytest.fixture(name="health")
def health_fixture() -> StoreHealth:
    """Return the health of a store that answers."""
    return StoreHealth()


@pytest.fixture(name="links")
def links_fixture() -> SimpleNamespace:
    """Return the links of an instance, initially none."""
    return SimpleNamespace(outgoing_by_peer={})


@pytest.fixture(name="make_duty")
def make_duty_fixture(
    directory: SimpleNamespace, health: StoreHealth, links: SimpleNamespace
) -> MakeDuty:
    """Return a factory for the watch duty of an instance."""

    def make(
        name: str,
        members: int,
        issuers: int,
        *,
        holds_lease: bool = False,
        watchers: Callable[[Iterable[str]], set[str]] = choose_configuration_watchers,
    ) -> WatchDuty:
        peers = {f"issuer-{number}": "" for number in range(issuers)}
        issuer_list = SimpleNamespace(members=members, peers_by_incarnation=peers)
        rest: dict[str, Any] = {
            "links": links,
            "lease": SimpleNamespace(is_held=lambda now: holds_lease),
            "permits": SimpleNamespace(issuers=issuer_list),
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
    """Return the duty of a member of a large fleet that is not an issuer."""
    return make_duty("me", SMALL_FLEET_SIZE + 1, WATCHERS + 1)


def link_all(links: SimpleNamespace, issuers: int, *, targets: int = 10) -> None:
    """Link an instance to the lease holder and to all issuers."""
    names = [f"issuer-{number}" for number in range(issuers)]
    links.outgoing_by_peer = {name: make_link(name, targets) for name in names}
    links.outgoing_by_peer["holder"] = make_link("holder", targets, leads=True)


@pytest.mark.parametrize("members", [30, 100, 300])
async def test_number_of_watches_does_not_grow_with_the_fleet(
    make_duty: MakeDuty, links: SimpleNamespace, members: int
) -> None:
    """Guards against a store that must answer every instance of a large fleet."""
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
    """In a small fleet a few more calls cost less than late updates."""
    link_all(links, WATCHERS)
    assert not make_duty("me", SMALL_FLEET_SIZE, WATCHERS).is_skipped()


async def test_issuers_that_do_not_watch_are_not_trusted(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """Guards against instances without a watch that confirm each other's state."""
    names = [f"issuer-{number}" for number in range(WATCHERS, WATCHERS + 5)]
    links.outgoing_by_peer = {name: make_link(name) for name in names}
    assert not duty.is_skipped()


async def test_newly_announced_version_does_not_make_a_member_watch(
    duty: WatchDuty, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Guards against a fleet that starts to watch because heartbeats lag a little."""
    link_all(links, WATCHERS)
    duty.update_settled_version(100.0)
    directory.version = 12
    assert duty.is_skipped()


async def test_watchers_that_stay_behind_are_not_trusted(
    duty: WatchDuty, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """A watcher that does not learn of changes cannot announce them."""
    link_all(links, WATCHERS)
    directory.version = 12
    for number in range(3):
        duty.update_settled_version(100.0 + number * VERSION_SETTLE_TIME)
    assert not duty.is_skipped()


async def test_member_watches_when_its_watchers_have_lost_the_store(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """Guards against changes missed by the fleet when the watchers lose the store."""
    link_all(links, WATCHERS)
    watchers = list(links.outgoing_by_peer.values())
    for link in watchers[: len(watchers) - MIN_WATCHERS + 1]:
        link.heartbeat.store_lost = True
    assert not duty.is_skipped()


async def test_member_watches_when_its_watchers_fall_silent(
    duty: WatchDuty, links: SimpleNamespace
) -> None:
    """Guards against changes missed by the fleet when watchers freeze or disconnect."""
    link_all(links, WATCHERS)
    for link in links.outgoing_by_peer.values():
        link.last_received_at -= 1.0
    assert not duty.is_skipped()


async def test_member_that_lost_the_store_watches_until_it_is_answered(
    duty: WatchDuty, links: SimpleNamespace, health: StoreHealth
) -> None:
    """Guards against a member that considers the store lost forever."""
    link_all(links, WATCHERS)
    health.record_failure("unavailable", 10.0)
    assert not duty.is_skipped()
    health.record_answer(12.0)
    assert duty.is_skipped()


@pytest.mark.parametrize("members", [30, 100, 300])
async def test_only_watchers_retry_a_lost_store_at_the_normal_rate(
    make_duty: MakeDuty, members: int
) -> None:
    """Guards against hundreds of instances that each retry every second."""
    assert make_duty("me", members, WATCHERS).max_retry_delay(1.0) == MAX_RETRY_DELAY
    assert make_duty("issuer-0", members, WATCHERS).max_retry_delay(1.0) == 1.0
    holder = make_duty("me", members, WATCHERS, holds_lease=True)
    assert holder.max_retry_delay(1.0) == 1.0


async def test_all_issuers_watch_the_targets(
    make_duty: MakeDuty, links: SimpleNamespace
) -> None:
    """Guards against issuers that learn late that a target is leaving.

    They then granted no more of its slots.
    """
    issuers = WATCHERS + 4
    link_all(links, issuers)
    names = [f"issuer-{number}" for number in range(issuers)]
    duties = [make_duty(name, 100, issuers, watchers=set) for name in names]
    assert not any(duty.is_skipped() for duty in duties)
    assert make_duty("me", 100, issuers, watchers=set).is_skipped()
