"""Integration tests of requests that end late in the grace period of a stop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

import pytest

from swiftpin.relays.relay_terms import HEADER_RELAY_TARGET, RelayResult
from tests.router.site import BOUNDS, HOST, Site

REMOVED_AFTER: Final = 0.6
"""Seconds after which the load balancer has removed a stopping instance."""

LONG_WORK: Final = 2 * BOUNDS.shutdown_grace
"""Seconds of work that no instance waits for while it stops."""

SHORT_TIME: Final = 0.8
"""Deadline in seconds of a request that ends before the exit."""


@dataclass(frozen=True, kw_only=True)
class Connection:
    """Connection of a caller or of another instance."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def async_read_answer(self) -> str:
        """Return the head and the body of an answer, empty if it is closed before."""
        async with asyncio.timeout(BOUNDS.shutdown_grace):
            try:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                return ""
            length = head.lower().partition("content-length: ")[2].split()[0]
            return head + (await self.reader.readexactly(int(length))).decode()


@pytest.fixture(name="connections")
async def connections_fixture(site: Site) -> AsyncIterator[list[Connection]]:
    """Return the connections of a test, which are closed at its end."""
    connections: list[Connection] = []
    yield connections
    for connection in connections:
        connection.writer.close()


def request_head(
    path: str, request_id: str, *, length: int, deadline: float, more: str = ""
) -> bytes:
    """Return the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Swiftpin-Request-Id: {request_id}\r\nSwiftpin-Shard-Key: 1\r\n"
        f"Swiftpin-Deadline-Milliseconds: {deadline * 1000:.0f}\r\n"
        f"{more}Content-Length: {length}\r\n\r\n"
    ).encode()


async def async_connect(
    site: Site, connections: list[Connection], *, to_relay: bool = False
) -> Connection:
    """Connect to the first instance as a caller, or as another instance."""
    settings = site.settings_by_name["i0"]
    address = settings.relay_address if to_relay else settings.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    connections.append(Connection(reader=reader, writer=writer))
    return connections[-1]


async def async_stop(site: Site) -> None:
    """Stop the first instance as a signal does."""
    await site.routers_by_name["i0"].async_stop()
    await site.async_remove_router("i0")


def relay_header(site: Site) -> str:
    """Return the header that names the owner of key 1 to a relay."""
    owner = site.routers_by_name["i0"]._maps.owner_of("desk", 1)
    return f"{HEADER_RELAY_TARGET}: {owner}\r\n"


def set_work(site: Site, seconds: float) -> None:
    """Let targets take some time for each request."""
    for target in site.targets_by_name.values():
        target.work = seconds


async def test_body_that_ends_late_is_not_passed_on(
    site: Site, connections: list[Connection]
) -> None:
    """Guards against connections that are closed while the target runs the request.

    A request was accepted in time and passed on whenever its body was complete.
    """
    set_work(site, LONG_WORK)
    caller = await async_connect(site, connections)
    caller.writer.write(request_head("/slow/x", "late", length=2, deadline=9) + b"a")
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(async_stop(site))
    await asyncio.sleep(REMOVED_AFTER)
    caller.writer.write(b"b")
    answer = await caller.async_read_answer()
    assert answer.startswith("HTTP/1.1 503"), answer
    assert "SHUTTING_DOWN" in answer
    assert "Retry-After" in answer
    await stop
    assert site.count_runs("late") == 0


async def test_request_is_not_written_late_whatever_it_waited_for(
    site: Site, connections: list[Connection], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that pass a check and are written some time later."""
    handler = site.routers_by_name["i0"]._handler
    monkeypatch.setattr(handler, "refuse_long_requests", lambda: None)
    set_work(site, LONG_WORK)
    caller = await async_connect(site, connections)
    head = request_head("/slow/x", "late", length=2, deadline=9)
    caller.writer.write(head + b"a")
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(async_stop(site))
    await asyncio.sleep(REMOVED_AFTER)
    caller.writer.write(b"b")
    assert "SHUTTING_DOWN" in await caller.async_read_answer()
    await stop
    assert site.count_runs("late") == 0


async def test_body_that_ends_late_is_passed_on_if_there_is_time(
    site: Site, connections: list[Connection]
) -> None:
    """Guards against refusals of requests that end before the instance does."""
    caller = await async_connect(site, connections)
    head = request_head("/slow/x", "early", length=2, deadline=SHORT_TIME)
    caller.writer.write(head + b"a")
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(async_stop(site))
    await asyncio.sleep(REMOVED_AFTER)
    caller.writer.write(b"b")
    assert (await caller.async_read_answer()).startswith("HTTP/1.1 200")
    await stop


async def test_request_at_a_target_is_answered_at_the_exit(
    site: Site, connections: list[Connection]
) -> None:
    """Guards against connections that are closed without an answer at the exit."""
    set_work(site, LONG_WORK)
    caller = await async_connect(site, connections)
    caller.writer.write(request_head("/slow/x", "cut", length=0, deadline=9))
    await site.async_wait(lambda: site.count_runs("cut") == 1)
    stop = asyncio.create_task(async_stop(site))
    answer = await caller.async_read_answer()
    assert answer.startswith("HTTP/1.1 502"), answer
    assert "ANSWER_LOST" in answer
    assert "Retry-After" not in answer
    await stop


async def test_relayed_body_that_ends_late_is_not_passed_on(
    site: Site, connections: list[Connection]
) -> None:
    """Guards against requests of other instances that outlast a stopping one."""
    set_work(site, LONG_WORK)
    sender = await async_connect(site, connections, to_relay=True)
    head = request_head(
        "/slow/x", "relayed", length=2, deadline=9, more=relay_header(site)
    )
    sender.writer.write(head + b"a")
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(async_stop(site))
    await asyncio.sleep(REMOVED_AFTER)
    sender.writer.write(b"b")
    answer = await sender.async_read_answer()
    assert RelayResult.BUSY in answer, answer
    await stop
    assert site.count_runs("relayed") == 0
