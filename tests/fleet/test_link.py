"""Tests of a link between two instances."""

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

RUN_SECONDS = 2.0
"""Seconds for which a test runs a link."""


class RecordingStream:
    """Records sent heartbeats and regularly receives empty frames."""

    def __init__(self) -> None:
        self.heartbeats: list[tuple[float, Item]] = []

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Record the heartbeats in a frame."""
        now = asyncio.get_running_loop().time()
        self.heartbeats += [
            (now, i.heartbeat) for i in message.items if i.HasField("heartbeat")
        ]

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return an empty frame after a heartbeat interval."""
        await asyncio.sleep(HEARTBEAT_INTERVAL)
        return pb.Frame()


class Handler:
    """Creates heartbeats with the fields in `state`."""

    def __init__(self) -> None:
        self.state: dict[str, Any] = {}

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Ignore an item."""

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return a heartbeat."""
        return pb.Item(heartbeat=pb.Heartbeat(**self.state))


async def _async_run_link(handler: Handler, *, busy: bool) -> list[tuple[float, Item]]:
    """Run a link and return its heartbeats; a busy link also sends other frames."""
    loop = asyncio.get_running_loop()
    stream = RecordingStream()
    link = PeerLink(handler, loop.time(), is_outgoing=True)
    task = asyncio.create_task(link.async_run(stream))
    ends_at = loop.time() + RUN_SECONDS
    while loop.time() < ends_at:
        await asyncio.sleep(HEARTBEAT_INTERVAL / 4)
        if busy:
            link.send(pb.Item(end=pb.PermitEnd(id=1)))
    link.close()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return stream.heartbeats


async def test_idle_link_sends_regular_heartbeats() -> None:
    """A link without other frames sends heartbeats at the regular interval."""
    heartbeats = await _async_run_link(Handler(), busy=False)
    assert len(heartbeats) >= RUN_SECONDS / HEARTBEAT_INTERVAL / 2


async def test_busy_link_sends_fewer_heartbeats() -> None:
    """Guards against instances that spend more CPU time on heartbeats than on requests.

    With 72 instances, each linked to a dozen others, every link sent three heartbeats
    per second, even if other frames showed that it was alive.
    """
    heartbeats = await _async_run_link(Handler(), busy=True)
    assert 2 <= len(heartbeats) <= 1 + RUN_SECONDS / MAX_HEARTBEAT_INTERVAL


@pytest.mark.parametrize("state", [{"leads": True}, {"store_lost": True}])
async def test_assigner_and_votes_keep_the_regular_interval(
    state: dict[str, Any],
) -> None:
    """Candidates wait for the assigner's heartbeats, and it for their votes."""
    handler = Handler()
    handler.state = state
    heartbeats = await _async_run_link(handler, busy=True)
    assert len(heartbeats) >= RUN_SECONDS / HEARTBEAT_INTERVAL / 2


def test_changes_are_sent_immediately() -> None:
    """A new configuration or a stop makes the next heartbeat due immediately."""
    link = PeerLink(Handler(), 10.0, is_outgoing=True)
    link._last_heartbeat = pb.Heartbeat(configuration=1)
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=1)) > 10.0
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=2)) <= 10.0
    assert link._heartbeat_due_at(pb.Heartbeat(configuration=1, stopping=True)) <= 10.0


def test_target_changes_are_sent_to_openers_of_the_link() -> None:
    """Guards against a leaving target that still gets requests two seconds later.

    Most instances of a large fleet learn of targets from the few that watch the store;
    on busy links the version was sent only every 0.9 s.
    """
    for is_outgoing, pause in (
        (False, HEARTBEAT_INTERVAL),
        (True, MAX_HEARTBEAT_INTERVAL),
    ):
        link = PeerLink(Handler(), 10.0, is_outgoing=is_outgoing)
        link._sent_at = 11.0
        link._last_heartbeat = pb.Heartbeat(targets=1)
        assert link._heartbeat_due_at(pb.Heartbeat(targets=2)) == 10.0 + pause


def test_later_item_does_not_overtake_a_document() -> None:
    """Guards against a key map change that arrives before the map."""
    sender = PeerLink(Handler(), 10.0, is_outgoing=True)
    change = pb.Item(key_map_change=pb.KeyMapChange(number=2))
    sender.send_after_documents(change)
    assert sender._queue == [change]
    sender.send_document(lambda: pb.Item(key_map=pb.KeyMap(targets=["t" * 50_000])))
    sender.send_after_documents(change)
    kinds = [item.WhichOneof("body") for item in sender._queue[1:]]
    assert kinds == ["fragment", "fragment"]
