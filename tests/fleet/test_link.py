"""Tests of one link between two instances."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from swiftpin.fleet.item import Item
from swiftpin.fleet.link import (
    HEARTBEAT_INTERVAL,
    MAX_HEARTBEAT_INTERVAL,
    PeerLink,
)
from swiftpin.fleet.proto import fleet_pb2 as pb

SECONDS = 2.0
"""How long each link is watched."""


class CountingStream:
    """Notes the frames that are sent; the other side is heard all the while."""

    def __init__(self) -> None:
        self.heartbeats: list[tuple[float, Item]] = []

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Note heartbeats."""
        now = asyncio.get_running_loop().time()
        self.heartbeats += [
            (now, i.heartbeat) for i in message.items if i.HasField("heartbeat")
        ]

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return an empty frame now and then."""
        await asyncio.sleep(HEARTBEAT_INTERVAL)
        return pb.Frame()


class Handler:
    """Makes heartbeats with what a test sets."""

    def __init__(self) -> None:
        self.state: dict[str, Any] = {}

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Take nothing."""

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return a heartbeat."""
        return pb.Item(heartbeat=pb.Heartbeat(**self.state))


async def _async_watch(handler: Handler, *, busy: bool) -> list[tuple[float, Item]]:
    """Return the heartbeats on a link, which has other frames if it is busy."""
    loop = asyncio.get_running_loop()
    stream = CountingStream()
    link = PeerLink(handler, loop.time(), is_outgoing=True)
    task = asyncio.create_task(link.async_run(stream))
    until = loop.time() + SECONDS
    while loop.time() < until:
        await asyncio.sleep(HEARTBEAT_INTERVAL / 4)
        if busy:
            link.send(pb.Item(end=pb.PermitEnd(id=1)))
    link.close()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return stream.heartbeats


async def test_idle_link_shows_life_at_its_pace() -> None:
    """A link without other frames is known to live."""
    heartbeats = await _async_watch(Handler(), busy=False)
    assert len(heartbeats) >= SECONDS / HEARTBEAT_INTERVAL / 2


async def test_busy_link_shows_life_by_its_frames() -> None:
    """Symptom: instances spent more time on heartbeats than on requests.

    Sequence: 72 instances, each linked to a dozen others. Cause: heartbeats went out
    three times a second also where other frames showed life anyway.
    """
    heartbeats = await _async_watch(Handler(), busy=True)
    assert 2 <= len(heartbeats) <= 1 + SECONDS / MAX_HEARTBEAT_INTERVAL


@pytest.mark.parametrize("state", [{"leads": True}, {"store_lost": True}])
async def test_assigner_and_votes_keep_the_pace(state: dict[str, Any]) -> None:
    """Candidates wait for the assigner's signs, and it for votes in theirs."""
    handler = Handler()
    handler.state = state
    heartbeats = await _async_watch(handler, busy=True)
    assert len(heartbeats) >= SECONDS / HEARTBEAT_INTERVAL / 2


def test_changes_go_at_once() -> None:
    """A new version and a stop are told before the next heartbeat is due."""
    link = PeerLink(Handler(), 10.0, is_outgoing=True)
    link._last_heartbeat = pb.Heartbeat(configuration=1)
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=1)) > 10.0
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=2)) <= 10.0
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=1, stopping=True)) <= 10.0


def test_changes_of_targets_go_to_those_that_opened_the_link() -> None:
    """Symptom: a leaving target still got requests two seconds later.

    Sequence: most instances of a large fleet hear of targets from the few that watch
    the store. Cause: on busy links versions travelled only every 0.9 s.
    """
    for is_outgoing, pause in (
        (False, HEARTBEAT_INTERVAL),
        (True, MAX_HEARTBEAT_INTERVAL),
    ):
        link = PeerLink(Handler(), 10.0, is_outgoing=is_outgoing)
        link._sent_at = 11.0
        link._last_heartbeat = pb.Heartbeat(targets=1)
        assert link._heartbeat_due_at(pb.Heartbeat(targets=2)) == 10.0 + pause


def test_what_follows_a_document_does_not_overtake_it() -> None:
    """Guards against a change of a key map that arrives before the map."""
    sender = PeerLink(Handler(), 10.0, is_outgoing=True)
    change = pb.Item(key_map_change=pb.KeyMapChange(number=2))
    sender.send_after_documents(change)
    assert sender._waiting == [change]
    sender.send_document(lambda: pb.Item(key_map=pb.KeyMap(targets=["t" * 50_000])))
    sender.send_after_documents(change)
    kinds = [item.WhichOneof("body") for item in sender._waiting[1:]]
    assert kinds == ["fragment", "fragment"]
