"""Tests of the management of an instance's links."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
import socket
from typing import Any

from eliot import add_destinations, remove_destination
import pytest

from swiftpin.fleet import links as links_module
from swiftpin.fleet.frame_stream import MAX_FIRST_FRAME_SIZE
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import SILENCE_TIMEOUT, PeerLink
from swiftpin.fleet.links import RECONNECT_PAUSE, FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.address import Address

TIMEOUT = 5.0


class Handler:
    """Records the incarnation of the other side."""

    def __init__(self) -> None:
        self.hello_received = asyncio.Event()

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Handle a `Hello`."""
        if item.WhichOneof("body") == "hello":
            link.incarnation = item.hello.incarnation
            self.hello_received.set()

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return an empty heartbeat."""
        return pb.Item(heartbeat=pb.Heartbeat())


def make_links(name: str, handler: Handler) -> FleetLinks:
    """Return an instance's links."""
    return FleetLinks(
        incarnation=f"{name}/1", own_peer=name, cpu_capacity=1.0, handler=handler
    )


@pytest.fixture(name="messages")
def messages_fixture() -> Iterator[list[dict[str, Any]]]:
    """Yield the list of logged messages."""
    messages: list[dict[str, Any]] = []
    add_destinations(messages.append)
    # eliot buffers messages and passes them to the first destination.
    messages.clear()
    yield messages
    remove_destination(messages.append)


@pytest.fixture(name="listener")
async def listener_fixture() -> AsyncIterator[tuple[FleetLinks, Handler, Address]]:
    """Yield links that listen, their handler and their address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=probe.getsockname()[1])
    handler = Handler()
    links = make_links("listener", handler)
    await links.async_setup(address)
    yield links, handler, address
    await links.async_unload()


async def test_link_that_its_opener_ends_has_a_line(
    listener: tuple[FleetLinks, Handler, Address], messages: list[dict[str, Any]]
) -> None:
    """Guards against a killed instance that no other instance's log names.

    Only links closed by an error were logged. The links of the killed instance were
    cancelled, and grpclib's log line for a cancelled call names no peer.
    """
    links, handler, address = listener
    opener = make_links("opener", Handler())
    opener.set_peers({str(address)})
    async with asyncio.timeout(TIMEOUT):
        await handler.hello_received.wait()
        lost = asyncio.Event()
        links.on_lost = lambda link: lost.set()
        opener.set_peers(set())
        await lost.wait()
    (line,) = [m for m in messages if m["message_type"] == "peer_lost"]
    assert line["peer"] == "opener/1"
    assert line["outgoing"] is False
    assert line["reason"]
    await opener.async_unload()


async def test_closing_an_unwanted_link_is_reported(
    listener: tuple[FleetLinks, Handler, Address],
) -> None:
    """Guards against requests that wait for a slot until they time out.

    An instance had asked a permit issuer for slots when a new issuer list removed the
    issuer and its link was closed. The pending requests were notified only of links
    lost by errors, so the closed link stayed in use.
    """
    _, _, address = listener
    handler = Handler()
    opener = make_links("opener", handler)
    lost: asyncio.Queue[PeerLink] = asyncio.Queue()
    opener.on_lost = lost.put_nowait
    opener.set_peers({str(address)})
    async with asyncio.timeout(TIMEOUT):
        await handler.hello_received.wait()
        (link,) = opener.outgoing_by_peer.values()
        opener.set_peers(set())
        assert await lost.get() is link
    assert not opener.outgoing_by_peer
    await opener.async_unload()


async def test_silent_links_make_room(
    listener: tuple[FleetLinks, Handler, Address], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections without a `Hello` that keep instances out."""
    monkeypatch.setattr(links_module, "MAX_UNIDENTIFIED", 2)
    links, handler, address = listener
    silent = [
        await asyncio.open_connection(address.host, address.port) for _ in range(3)
    ]
    opener = make_links("b", Handler())
    opener.set_peers({str(address)})
    await asyncio.wait_for(handler.hello_received.wait(), TIMEOUT)
    assert len([link for link in links.incoming if not link.incarnation]) <= 2
    await opener.async_unload()
    for _, writer in silent:
        writer.transport.abort()


async def test_first_frame_is_short(
    listener: tuple[FleetLinks, Handler, Address],
) -> None:
    """Guards against long frames of peers that have not said who they are."""
    _, _, address = listener
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write((MAX_FIRST_FRAME_SIZE + 1).to_bytes(4, "big"))
    await asyncio.wait_for(reader.read(), SILENCE_TIMEOUT / 2)
    writer.close()


@pytest.mark.parametrize("peer", ["nowhere", f"{'x' * 64}:1", "a..b:1", "a:99999"])
async def test_peer_that_is_no_address_is_not_reached(
    listener: tuple[FleetLinks, Handler, Address], peer: str
) -> None:
    """Guards against a task that ends because of an address of another writer."""
    _, handler, address = listener
    opener = make_links("b", Handler())
    opener.set_peers({peer})
    await asyncio.sleep(2 * RECONNECT_PAUSE)
    assert not any(task.done() for task in opener._tasks_by_peer.values())
    opener.set_peers({peer, str(address)})
    await asyncio.wait_for(handler.hello_received.wait(), TIMEOUT)
    await opener.async_unload()
