"""Tests of the distribution of key maps between instances."""

from __future__ import annotations

import pytest

from swiftpin.fleet.link import PeerLink
from swiftpin.keyranges.key_map import KeyMap, OwnerChange
from swiftpin.router.key_map_sharing import KeyMapSharing
from swiftpin.router.key_maps import KeyMaps
from tests.router.fleet_fakes import FakeLink, make_links

SERVICE = "desk"


def make_map(number: int, term: int = 1) -> KeyMap:
    """Return a key map with one owner."""
    return KeyMap(
        service=SERVICE, term=term, number=number, firsts=(0,), owners=("t1",)
    )


def make_sharing(maps: KeyMaps, *links: FakeLink) -> KeyMapSharing:
    """Return the sharing of an instance that must not request any map."""
    return KeyMapSharing(
        make_links(*links), maps, lambda link: pytest.fail("unexpected request")
    )


@pytest.fixture(name="maps")
def maps_fixture() -> KeyMaps:
    """Return key maps that contain one map."""
    maps = KeyMaps()
    maps.adopt(make_map(1))
    return maps


def test_successive_map_is_published_as_a_change(maps: KeyMaps) -> None:
    """A complete map is sent only if it does not follow the previous one."""
    link = FakeLink("a")
    sharing = make_sharing(maps, link)
    change = OwnerChange(first=5, last=9, owner="t2")
    sharing.publish(make_map(1).with_changes([change]))
    sharing.publish(make_map(9, term=2))
    assert [item.WhichOneof("body") for item in link.sent] == [
        "key_map_change",
        "key_map",
    ]
    assert list(link.sent[0].key_map_change.owners) == ["t2"]


def test_change_of_the_known_map_is_applied(maps: KeyMaps) -> None:
    """An instance applies the change that another one publishes."""
    link = FakeLink("a")
    sender = KeyMaps()
    sender.adopt(make_map(1))
    change = OwnerChange(first=5, last=9, owner="t2")
    make_sharing(sender, link).publish(make_map(1).with_changes([change]))
    sharing = make_sharing(maps)
    sharing.handle_change(link, link.sent[0].key_map_change)
    assert [maps.owner_of(SERVICE, key) for key in (4, 5, 9, 10)] == [
        "t1",
        "t2",
        "t2",
        "t1",
    ]


@pytest.mark.parametrize(("number", "request_count"), [(3, 1), (1, 0), (0, 0)])
def test_complete_map_is_requested_only_after_a_gap(
    maps: KeyMaps, number: int, request_count: int
) -> None:
    """Guards against an instance that keeps an old map after a missed change.

    A change applies only to the map directly before it.
    """
    source = FakeLink("a")
    sender = KeyMaps()
    sender.adopt(make_map(number - 1))
    change = OwnerChange(first=5, last=9, owner="t2")
    make_sharing(sender, source).publish(make_map(number - 1).with_changes([change]))
    link = FakeLink("b")
    requested_links: list[PeerLink] = []
    sharing = KeyMapSharing(make_links(), maps, requested_links.append)
    sharing.handle_change(link, source.sent[0].key_map_change)
    assert requested_links == [link] * request_count
    assert maps.maps_by_service[SERVICE] == make_map(1)
