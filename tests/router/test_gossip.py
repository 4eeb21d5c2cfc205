"""Tests of the exchange of documents between neighbours."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.configuration_lag import ConfigurationLag
from swiftpin.router.document_ask import ANSWER_TIMEOUT
from swiftpin.router.gossip import Gossip
from swiftpin.router.holder_view import HOLDER_CATCH_UP_TIME
from tests.router.fleet_fakes import FakeLink


def make_link(name: str, targets: int) -> PeerLink:
    """Return a link to an instance that announces a version of the targets."""
    now = asyncio.get_running_loop().time()
    link = PeerLink(cast(LinkHandler, None), now, is_outgoing=True)
    link.incarnation = name
    link.heartbeat = pb.Heartbeat(targets=targets)
    return link


@pytest.fixture(name="directory")
def directory_fixture() -> SimpleNamespace:
    """Return a fake directory with a version."""
    return SimpleNamespace(version=10, evacuations=Evacuations(None))


@pytest.fixture(name="links")
def links_fixture() -> SimpleNamespace:
    """Return the links of an instance, initially none."""
    return SimpleNamespace(outgoing_by_peer={}, live_links=list)


@pytest.fixture(name="gossip")
def gossip_fixture(links: SimpleNamespace, directory: SimpleNamespace) -> Gossip:
    """Return the gossip of a member of a small fleet."""
    issuers = SimpleNamespace(members=1, peers_by_incarnation={})
    permits = SimpleNamespace(issuers=issuers)
    lease = SimpleNamespace(is_held=lambda now: False)
    rest: dict[str, Any] = {
        "links": links,
        "lease": lease,
        "permits": permits,
        "health": StoreHealth(),
        "maps": SimpleNamespace(version=(0, 0), maps_by_service={}),
        "configuration": SimpleNamespace(
            version=0, adopt_packed=pytest.fail, lag=ConfigurationLag()
        ),
        "directory": directory,
    }
    return Gossip(incarnation="me", **rest)


@pytest.fixture(name="requests")
def requests_fixture(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return a list that records the neighbour of each request."""
    requests: list[str] = []

    def send(link: PeerLink, item: object) -> None:
        requests.append(link.incarnation)

    monkeypatch.setattr(PeerLink, "send", send)
    return requests


def request_again(gossip: Gossip) -> None:
    """Make an instance that is behind send its next request without an answer."""
    gossip._targets_requester._behind_since = -1.0
    gossip._targets_requester._requested_at -= ANSWER_TIMEOUT
    gossip.request_updates()


async def test_frozen_neighbour_is_not_asked_again(
    gossip: Gossip, links: SimpleNamespace, requests: list[str]
) -> None:
    """Guards against a removal that is learnt more than a second late.

    The first neighbour with a newer version was asked repeatedly. When it froze it was
    asked until its link counted as lost.
    """
    frozen, responsive = make_link("frozen", 12), make_link("responsive", 12)
    frozen.last_received_at -= 1.0
    links.live_links = lambda: [frozen, responsive]
    request_again(gossip)
    request_again(gossip)
    assert requests == ["responsive", "responsive"]


async def test_neighbours_with_a_newer_version_are_asked_in_turn(
    gossip: Gossip, links: SimpleNamespace, requests: list[str]
) -> None:
    """A neighbour that does not answer costs only one request."""
    links.live_links = lambda: [make_link("a", 12), make_link("b", 12)]
    for _ in range(3):
        request_again(gossip)
    assert requests == ["a", "b", "a"]


def make_holder(targets: int) -> PeerLink:
    """Return a link to the lease holder."""
    link = make_link("holder", targets)
    assert link.heartbeat is not None
    link.heartbeat.leads = True
    return link


async def test_only_a_holder_that_reaches_the_store_confirms(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Guards against trust in a silent watch while the holder has lost the store.

    Any heartbeat of the lease holder counted as a confirmation.
    """
    confirmed: list[float] = []
    directory.record_confirmation = confirmed.append
    lost = make_holder(10)
    assert lost.heartbeat is not None
    lost.heartbeat.store_lost = True
    links.live_links = lambda: [lost]
    gossip.request_updates()
    assert not gossip.holder_view.is_confirmed()
    assert not confirmed
    lost.heartbeat.store_lost = False
    gossip.request_updates()
    gossip.holder_view._connected_since -= HOLDER_CATCH_UP_TIME
    gossip.request_updates()
    assert gossip.holder_view.is_confirmed()
    assert len(confirmed) == 1


async def test_holder_confirms_nothing_until_it_has_caught_up(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Guards against live targets treated as gone right after a store outage.

    Entries were missing before the outage and restored during it. At its end the
    holder's lease was renewed before its watch was answered, so the holder confirmed an
    outdated version.
    """
    directory.record_confirmation = lambda at: pytest.fail("nothing is confirmed yet")
    holder = make_holder(10)
    assert holder.heartbeat is not None
    links.live_links = lambda: [holder]
    for is_lost in (False, True, False):
        holder.heartbeat.store_lost = is_lost
        gossip.holder_view._connected_since -= HOLDER_CATCH_UP_TIME
        gossip.request_updates()
        assert not gossip.holder_view.is_confirmed()


async def test_members_do_not_confirm_each_other(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Guards against a removal that no instance learns for 15 s.

    The answers to all watches were lost at the same time, and the instances confirmed
    each other's outdated version.
    """
    directory.record_confirmation = pytest.fail
    links.live_links = lambda: [make_link("a", 10), make_link("b", 10)]
    gossip.request_updates()
    assert not gossip.holder_view.is_confirmed()


async def test_holder_with_a_newer_version_does_not_confirm(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """The newer version may contain a target that has left."""
    directory.record_confirmation = pytest.fail
    links.live_links = lambda: [make_holder(12)]
    gossip.request_updates()


async def test_store_losses_and_recoveries_of_neighbours_are_counted(
    gossip: Gossip, links: SimpleNamespace, directory: SimpleNamespace
) -> None:
    """Watches opened before such an event are opened again."""
    directory.record_confirmation = lambda at: None
    link = make_link("a", 10)
    assert link.heartbeat is not None
    links.live_links = lambda: [link]
    counts = []
    for is_lost in (False, True, True, False):
        link.heartbeat.store_lost = is_lost
        gossip.request_updates()
        counts.append(gossip.holder_view.store_reports)
    assert counts == [0, 1, 1, 2]


async def test_key_maps_are_requested_once_after_a_start(
    gossip: Gossip, links: SimpleNamespace, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new instance that receives all key maps from each neighbour."""
    requests: list[str | None] = []
    monkeypatch.setattr(
        PeerLink, "send", lambda link, item: requests.append(item.WhichOneof("body"))
    )
    neighbours = [make_link(name, targets=10) for name in "abc"]
    for link in neighbours:
        assert link.heartbeat is not None
        link.heartbeat.maps_term = link.heartbeat.maps_number = 1
    links.live_links = lambda: neighbours
    for _ in neighbours:
        gossip.handle_heartbeat()
    assert requests == ["key_map_ask"]


@pytest.mark.parametrize(
    ("is_lost", "announced", "has_source"),
    [(False, 0, True), (True, 7, True), (True, 0, False)],
)
async def test_missing_configuration_needs_a_source(
    gossip: Gossip,
    links: SimpleNamespace,
    is_lost: bool,
    announced: int,
    has_source: bool,
) -> None:
    """Guards against waiting for a configuration that only a lost instance had."""
    link = make_link("a", targets=10)
    assert link.heartbeat is not None
    link.heartbeat.configuration = announced
    links.live_links = lambda: [link]
    if is_lost:
        gossip._health.record_failure("silent", 1.0)
    gossip.request_updates()
    assert gossip._configuration.lag.has_source is has_source


async def test_unreadable_update_is_ignored(
    gossip: Gossip, directory: SimpleNamespace
) -> None:
    """Guards against a link that is closed by a decoding error.

    An instance of another software version can send targets in an unknown format.
    """
    directory.adopt_update = pytest.fail
    gossip.handle_targets(pb.Update(targets=b'[{"name": 3}]', targets_revision=12))


@pytest.mark.parametrize(("announced", "answer_count"), [(9, 1), (10, 0)])
def test_neighbour_that_caught_up_gets_no_target_list(
    gossip: Gossip, directory: SimpleNamespace, announced: int, answer_count: int
) -> None:
    """Guards against a second list in answer to a repeated request."""
    directory.listed_targets = list
    directory.targets_changed_since = lambda revision, now: []
    link = FakeLink("a", targets=announced)
    gossip.send_targets(link, pb.UpdateAsk(targets=8))
    assert [item.WhichOneof("body") for item in link.sent] == ["update"] * answer_count


@pytest.mark.parametrize(("announced", "answer_count"), [(4, 1), (5, 0)])
def test_neighbour_that_caught_up_gets_no_configuration(
    gossip: Gossip, announced: int, answer_count: int
) -> None:
    """Guards against a second configuration in answer to a repeated request."""
    holder = SimpleNamespace(version=5, packed=b"x")
    gossip._configuration = cast(ConfigurationHolder, holder)
    link = FakeLink("a", configuration=announced)
    gossip.send_configuration(link, pb.ConfigurationAsk(version=3))
    kinds = [item.WhichOneof("body") for item in link.sent]
    assert kinds == ["configuration"] * answer_count
