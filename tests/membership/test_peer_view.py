"""Tests of the view of the fleet."""

from __future__ import annotations

from random import Random

from aiohttp import ClientSession
import pytest

from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.peer_view import PeerView
from tests.membership.test_neighbours import make_infos


@pytest.fixture
async def directory(session: ClientSession) -> InstanceDirectory:
    """Return a directory that lists a hundred instances."""
    directory = InstanceDirectory(session=session, url="http://x", seed=1)
    directory._adopt(make_infos(*(f"a-{number}" for number in range(100))))
    return directory


@pytest.fixture
def view(directory: InstanceDirectory) -> PeerView:
    """Return the view of one of the instances."""
    return PeerView(
        name="a-0", directory=directory, random=Random(1), size=10, renewal=5.0
    )


def test_members_stay_between_renewals(view: PeerView) -> None:
    """Connections to the members are used again."""
    members = view.infos_by_name(0.0)
    assert len(members) == 10
    assert "a-0" not in members
    assert view.infos_by_name(4.9) == members


def test_one_member_is_replaced_at_a_time(view: PeerView) -> None:
    """A renewal costs one connection."""
    before = set(view.infos_by_name(0.0))
    after = set(view.infos_by_name(5.0))
    assert len(before - after) == 1
    assert len(after) == 10


def test_every_instance_is_met_in_time(view: PeerView) -> None:
    """Nobody is left out for ever."""
    met: set[str] = set()
    for step in range(1000):
        met |= view.infos_by_name(5.0 * step).keys()
    assert len(met) == 99


def test_unlisted_member_is_replaced_at_once(
    directory: InstanceDirectory, view: PeerView
) -> None:
    """An instance that is gone gets no more news."""
    gone = next(iter(view.infos_by_name(0.0)))
    infos_by_name = dict(directory.instances_by_name)
    del infos_by_name[gone]
    directory._adopt(infos_by_name)
    members = view.infos_by_name(0.1)
    assert gone not in members
    assert len(members) == 10


def test_small_fleet_is_viewed_in_whole(
    directory: InstanceDirectory, view: PeerView
) -> None:
    """Of a few instances all others are members, and stay."""
    directory._adopt(make_infos("a-0", "a-1", "b-1"))
    for now in (0.0, 100.0):
        assert set(view.infos_by_name(now)) == {"a-1", "b-1"}


def test_nobody_listed_means_nobody_viewed(
    directory: InstanceDirectory, view: PeerView
) -> None:
    """Before the list is read there is nobody to talk to."""
    directory._adopt({})
    assert view.infos_by_name(0.0) == {}
