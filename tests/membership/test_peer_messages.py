"""Tests of the messages between instances."""

from __future__ import annotations

import asyncio

from aiohttp import ClientSession
import pytest

from swiftpin.exceptions import ConfigurationError, PeerError
from swiftpin.membership.coordinator import MembershipCoordinator
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.peer_restarted_error import PeerRestartedError
from swiftpin.ownership.group_id import GroupId
from tests.membership.fake_store import FakeStore
from tests.membership.fleet import Fleet

GROUP = GroupId(service="desk", group=0)
OTHER = GroupId(service="desk", group=1)
BEATS = [
    GroupHeartbeat(group=GROUP, term=2, revision=7),
    GroupHeartbeat(group=OTHER, term=4, revision=1),
]


@pytest.fixture
async def pair(fleet: Fleet) -> Fleet:
    """Return a fleet of two instances, which `b-1` answers."""
    await fleet.async_add("a-1", "b-1")
    return fleet


async def test_heartbeat_returns_what_the_receiver_accepts(pair: Fleet) -> None:
    """Groups, terms and revisions arrive; the accepted groups come back."""
    handler = pair.handlers["b-1"]
    handler.accepts = {GROUP}
    reply = await pair.members["a-1"].clients.async_heartbeat("b-1/a1", BEATS)
    assert reply.receiver == "b-1/a1"
    assert reply.accepted == {GROUP}
    assert handler.beats == BEATS
    assert handler.senders == ["a-1/a1"]


async def test_hand_over_is_answered(pair: Fleet) -> None:
    """The receiver says whether it takes over."""
    clients = pair.members["a-1"].clients
    pair.handlers["b-1"].accepts = {GROUP}
    assert await clients.async_hand_over("b-1/a1", GROUP, 2)
    assert not await clients.async_hand_over("b-1/a1", OTHER, 4)
    assert pair.handlers["b-1"].hand_overs == [(GROUP, 2), (OTHER, 4)]


async def test_message_to_an_earlier_incarnation_is_refused(pair: Fleet) -> None:
    """A holder counts on a successor that has forgotten everything.

    The successor restarts at the same address; the holder goes on sending to the
    incarnation in the record; were the new one to acknowledge, the holder would
    believe that the acknowledgements of before still bound somebody.
    """
    pair.handlers["b-1"].accepts = {GROUP}
    with pytest.raises(PeerRestartedError) as caught:
        await pair.members["a-1"].clients.async_heartbeat("b-1/old", BEATS)
    assert caught.value.receiver == "b-1/a1"
    assert pair.handlers["b-1"].beats == []
    assert pair.members["b-1"].counters.refused == 1


async def test_bare_name_means_any_incarnation(pair: Fleet) -> None:
    """A sender that does not know the incarnation learns it from the reply."""
    clients = pair.members["a-1"].clients
    reply = await clients.async_heartbeat("b-1", BEATS)
    assert reply.receiver == "b-1/a1"
    directory = pair.members["a-1"].directory
    assert directory.incarnations_by_name["b-1"] == "a1"


async def test_receiver_learns_the_incarnation_of_the_sender(pair: Fleet) -> None:
    """Whoever sends shows its incarnation."""
    await pair.members["a-1"].clients.async_heartbeat("b-1", BEATS)
    directory = pair.members["b-1"].directory
    assert directory.incarnations_by_name["a-1"] == "a1"


async def test_unlisted_instance_cannot_be_called(pair: Fleet) -> None:
    """Without an address there is nobody to call."""
    with pytest.raises(PeerError, match="not listed"):
        await pair.members["a-1"].clients.async_heartbeat("x-9", BEATS)


async def test_instance_that_is_down_is_an_error(pair: Fleet) -> None:
    """Nobody listens at the listed address."""
    await pair.async_stop("b-1", listed=True)
    with pytest.raises(PeerError):
        await pair.members["a-1"].clients.async_heartbeat("b-1/a1", BEATS)


async def test_restarted_instance_is_reached_on_a_new_connection(pair: Fleet) -> None:
    """A restart leaves the sender with a dead connection.

    The peer restarts under another incarnation at the same address; the next call
    finds the connection broken; a later one must reach the new incarnation.
    """
    clients = pair.members["a-1"].clients
    await clients.async_heartbeat("b-1/a1", BEATS)
    await pair.async_stop("b-1", listed=True)
    with pytest.raises(PeerError):
        await clients.async_heartbeat("b-1/a1", BEATS)
    await pair.async_add("b-1", incarnation="b2")
    reply = await clients.async_heartbeat("b-1", BEATS)
    assert reply.receiver == "b-1/b2"


async def test_silent_instance_is_tried_on_a_new_connection(fleet: Fleet) -> None:
    """Calls time out for long after a partition has healed.

    The connection was cut without a sign and TCP resends ever more rarely; calls
    that keep using it wait for the next resend. A call that got no answer closes it,
    so that each later call connects anew.
    """
    connections = 0

    async def swallow(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        await reader.read()
        writer.close()

    await fleet.async_add("a-1")
    fleet.list_instance("b-1")
    await fleet.async_refresh()
    clients = fleet.members["a-1"].clients
    clients._timeout = 0.05
    host, _, port = fleet.addresses["b-1"].partition(":")
    server = await asyncio.start_server(swallow, host, int(port))
    async with server:
        for _ in range(2):
            with pytest.raises(PeerError):
                await clients.async_heartbeat("b-1", BEATS)
    assert connections == 2


async def test_address_in_use_is_a_configuration_error(
    pair: Fleet, session: ClientSession
) -> None:
    """A second instance with the same settings says so at once."""
    second = MembershipCoordinator(
        instance_id="c-1/a1",
        zone="c",
        store=FakeStore(),
        session=session,
        instances_url="http://127.0.0.1:1",
        peer_listen=pair.addresses["a-1"],
    )
    with pytest.raises(ConfigurationError):
        await second.async_setup()


@pytest.mark.parametrize("listen", ["127.0.0.1", "127.0.0.1:http", "127.0.0.1:70000"])
async def test_bad_address_is_a_configuration_error(
    session: ClientSession, listen: str
) -> None:
    """The address must be host:port."""
    member = MembershipCoordinator(
        instance_id="c-1/a1",
        zone="c",
        store=FakeStore(),
        session=session,
        instances_url="http://127.0.0.1:1",
        peer_listen=listen,
    )
    with pytest.raises(ConfigurationError):
        await member.async_setup()
