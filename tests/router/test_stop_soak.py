"""Soak of planned stops in series, with odd store entries and new configurations."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterator
import contextlib
from dataclasses import dataclass, field
from itertools import count
import os
import random
from typing import Final

import pytest

from tests.platform.damaged_entries import DAMAGED_CONTENTS
from tests.router.site import HOST, MAX_WAIT, Site, configuration

SEEDS: Final = range(int(os.environ.get("SOAK_SEEDS", "3")))
DURATION: Final = 8.0
CLIENTS: Final = 12
ROUTERS: Final = 3
MAX_STOPPING: Final = 2
MAX_PAUSE: Final = 1.0
WORK: Final = (0.05, 0.5, 3.0)
"""Seconds that targets work on a request; the last is too long for a stop."""

REFUSING_ADDRESS: Final = "127.0.0.9:1"
PATHS: Final = ("/slow/x", "/book/x", "/files/x")
CLOSED: Final = 0
"""Status that stands for a connection that was closed without an answer."""


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a client got for a request."""

    request_id: str
    path: str
    status: int


@dataclass(kw_only=True)
class Soak:
    """Clients and events of one seed."""

    site: Site
    rng: random.Random
    outcomes: list[Outcome] = field(default_factory=list)
    is_over: bool = False
    stopping: set[str] = field(default_factory=set)
    others: list[str] = field(default_factory=list)
    """Names of the entries that other writers have created."""

    numbers: Iterator[int] = field(default_factory=count)
    version: int = 1

    async def async_run(self) -> None:
        """Let clients call while events happen, until everything is quiet again."""
        clients = [asyncio.create_task(self._async_client()) for _ in range(CLIENTS)]
        stops: list[asyncio.Task[None]] = []
        async with asyncio.timeout(DURATION + 2 * MAX_WAIT):
            ends_at = asyncio.get_running_loop().time() + DURATION
            while asyncio.get_running_loop().time() < ends_at:
                await asyncio.sleep(self.rng.uniform(0.1, MAX_PAUSE))
                if self.rng.random() < 0.4 and len(self.stopping) < MAX_STOPPING:
                    stops.append(asyncio.create_task(self._async_stop()))
                else:
                    self._change_store()
            await asyncio.gather(*stops)
            self.is_over = True
            await asyncio.gather(*clients)

    async def _async_stop(self) -> None:
        """Stop an instance and start it again."""
        names = sorted(self.site.routers_by_name.keys() - self.stopping)
        name = self.rng.choice(names)
        self.stopping.add(name)
        await self.site.routers_by_name[name].async_stop()
        await self.site.async_remove_router(name)
        await self.site.async_add_router(name, first_start=False)
        self.stopping.discard(name)

    def _change_store(self) -> None:
        """Write or remove an entry as another writer does, or a configuration."""
        store = self.site.store
        name = f"x-{next(self.numbers)}"
        target = self.rng.choice(sorted(self.site.targets_by_name))
        service = "desk" if self.site.targets_by_name[target].is_keyed else "vault"
        entry = self.site.targets_by_name[target].entry(service)
        match self.rng.randrange(5):
            case 0:
                store.put_bytes(
                    "servers", name, self.rng.choice(list(DAMAGED_CONTENTS.values()))
                )
            case 1:
                store.put("servers", name, entry)
            case 2:
                store.put("servers", name, entry | {"address": REFUSING_ADDRESS})
            case 3 if self.others:
                store.remove("servers", self.others.pop())
                return
            case _:
                self.version += 1
                routes = configuration(self.version, self.site.routes)
                store.put("config", "main", routes)
                return
        self.others.append(name)

    async def _async_client(self) -> None:
        """Call on one connection after the other, each as long as it is open."""
        while not self.is_over:
            name = self.rng.choice(sorted(self.site.routers_by_name))
            address = self.site.settings_by_name[name].caller_address
            try:
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(OSError):
                while await self._async_call(reader, writer):
                    if self.is_over:
                        break
                    await asyncio.sleep(self.rng.uniform(0, 0.1))
            writer.close()

    async def _async_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request in pieces; return whether its connection stays open."""
        path = self.rng.choice(PATHS)
        request_id = self.site.next_request_id()
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Swiftpin-Request-Id: {request_id}\r\n"
            f"Swiftpin-Shard-Key: {self.rng.randrange(65536)}\r\n"
            "Swiftpin-Deadline-Milliseconds: 4000\r\n"
            "Content-Length: 2\r\n\r\na".encode()
        )
        await asyncio.sleep(self.rng.choice((0, 0, 0.3, 1.0)))
        writer.write(b"b")
        status, is_kept = await async_read_answer(reader)
        self.outcomes.append(Outcome(request_id=request_id, path=path, status=status))
        return is_kept


async def async_read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of an answer, and whether the connection is kept."""
    async with asyncio.timeout(MAX_WAIT):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length: ")[2].split()[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return CLOSED, False
    return int(head.split()[1]), "connection: close" not in head


@pytest.fixture(name="soak_site")
async def soak_site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Site]:
    """Return a site of which two instances can stop at a time."""
    site = Site(monkeypatch)
    try:
        await site.async_setup(targets=3, routers=ROUTERS)
        yield site
    finally:
        await site.async_unload()


@pytest.mark.parametrize("seed", SEEDS)
async def test_stops_in_series_leave_no_request_without_a_true_answer(
    soak_site: Site, seed: int
) -> None:
    """Guards against requests that run unanswered or are called not run although."""
    rng = random.Random(seed)  # reproducible, not secret
    for target in soak_site.targets_by_name.values():
        target.work = rng.choice(WORK)
    soak = Soak(site=soak_site, rng=rng)
    await soak.async_run()
    statuses = Counter(outcome.status for outcome in soak.outcomes)
    assert statuses[200], statuses
    for outcome in soak.outcomes:
        runs = soak_site.count_runs(outcome.request_id)
        if outcome.status in (CLOSED, 503):
            assert runs == 0, outcome
        if outcome.path == "/book/x":
            assert runs <= 1, outcome
    for target in soak_site.targets_by_name.values():
        target.work = 0.005
    await soak_site.async_wait(soak_site.is_served)
    for path in ("/book/x", "/files/x"):
        for name in soak_site.routers_by_name:
            reply = await soak_site.async_call(path, via=name, method="POST")
            assert reply.status == 200, (name, path, reply)
