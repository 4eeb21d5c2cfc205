"""Tests of updates between neighbours."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.router.gossip import SMALL_FLEET, VERSION_AGE, Gossip


def make_link(name: str, targets: int) -> PeerLink:
    """Return a link to an instance that knows a version of the targets."""
    now = asyncio.get_running_loop().time()
    link = PeerLink(cast(LinkHandler, None), now, is_outgoing=True)
    link.incarnation = name
    link.heartbeat = pb.Heartbeat(targets=targets)
    return link


@pytest.fixture(name="directory")
def directory_fixture() -> SimpleNamespace:
    """Return a directory of which only the version matters."""
    return SimpleNamespace(version=10)


@pytest.fixture(name="links")
def links_fixture() -> SimpleNamespace:
    """Return links, none yet."""
    return SimpleNamespace(outgoing_by_peer={}, live_links=list)


@pytest.fixture(name="gossip")
def gossip_fixture(links: SimpleNamespace, directory: SimpleNamespace) -> Gossip:
    """Return the gossip of a member of a large fleet."""
    issuers = SimpleNamespace(members=SMALL_FLEET + 1, peers_by_incarnation={})
    permits = SimpleNamespace(issuers=issuers)
    lease = SimpleNamespace(is_held=lambda now: False)
    rest: dict[str, Any] = {
        "links": links,
        "lease": lease,
        "permits": permits,
        "maps": SimpleNamespace(version=(0, 0)),
        "configuration": SimpleNamespace(version=0),
        "directory": directory,
    }
    return Gossip(incarnation="me", **rest)


async def test_version_just_told_does_not_make_a_member_watch(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Symptom: all of a large fleet watched the store, each watch paid for.

    Sequence: a neighbour told a new version; the last heartbeats of the others were
    from before it. Cause: they seemed to know less than this instance.
    """
    links.outgoing_by_peer = {name: make_link(name, 10) for name in ("a", "b")}
    gossip._age_version(100.0)
    directory.version = 12
    assert gossip.may_skip_watch()


async def test_neighbours_that_stay_behind_are_not_relied_on(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Who does not learn of targets can't tell of them."""
    links.outgoing_by_peer = {name: make_link(name, 10) for name in ("a", "b")}
    directory.version = 12
    for number in range(3):
        gossip._age_version(100.0 + number * VERSION_AGE)
    assert not gossip.may_skip_watch()
