"""A small deployment: the store, upstreams, routers and clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
import random
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from review.standins.record import Record
from review.standins.routers import RouterProcess, common_ports, own_host
from review.standins.store import Store
from review.standins.upstream import Upstream

HOST: Final = "desk.example"
KEYED_SERVICE: Final = "desk"
STORE_NUMBER: Final = 1
UPSTREAM_NUMBER: Final = 2
ROUTER_NUMBER: Final = 20


class CannotRunError(Exception):
    """The deployment did not reach the state from which the case begins."""


def route(prefix: str, kind: str, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a route to the keyed service."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 600,
        "priority": 1,
        "attempts": 2,
        "service": KEYED_SERVICE,
        **more,
    }


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one keyed service."""
    service = {
        "name": KEYED_SERVICE,
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "sharding": True,
        "warmup_s": 3.0,
        "grants": "call",
    }
    limits = {
        "header_bytes": 16384,
        "body_bytes": 67108864,
        "header_ms": 3000,
        "idle_ms": 15000,
    }
    routes = [route("/read/", "safe"), route("/book/", "unsafe")]
    return {
        "version": f"r{version}",
        "services": [service],
        "limits": limits,
        "hosts": [{"host": HOST, "paths": routes}],
    }


class Deployment:
    """Starts and ends all components; `async_call` acts as a client."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store(own_host(STORE_NUMBER), record)
        self.upstreams: dict[str, Upstream] = {}
        self.routers: dict[str, RouterProcess] = {}
        self.answers: dict[str, str] = {}
        """Status, or error, by request id."""

        self.busy_keys = range(16384)
        self.busy_share = 0.0
        """Keys that are busier than others, and their share of the requests."""

        self._folder = folder
        self._ports = common_ports()
        self._rng = random.Random(63)
        self._requests = 0
        self._session: ClientSession | None = None

    async def async_start(
        self, *, upstreams: int, routers: int, **kinds: float
    ) -> None:
        """Start all components and wait until each router serves all keys."""
        self._session = ClientSession(
            connector=TCPConnector(force_close=True, limit=0),
            timeout=ClientTimeout(total=5.0),
        )
        await self.store.async_start()
        self.store.put("config", "main", configuration(3))
        for number in range(upstreams):
            await self.async_add_upstream(f"u{number}", **kinds)
        seeds = [
            f"{own_host(ROUTER_NUMBER + number)}:{self._ports[2]}"
            for number in range(min(routers, 3))
        ]
        for number in range(routers):
            name = f"front-{number}"
            router = RouterProcess(
                name,
                own_host(ROUTER_NUMBER + number),
                self._ports,
                self._folder,
                store=self.store.address,
                seeds=seeds,
            )
            self.routers[name] = router
            await router.async_start(bootstrap=True)
        for name in self.routers:
            await self.async_wait_until_served(name, 20.0)

    async def async_end(self) -> None:
        """End all processes and components."""
        for router in self.routers.values():
            await router.async_end()
        for upstream in self.upstreams.values():
            await upstream.async_stop()
        await self.store.async_stop()
        if self._session is not None:
            await self._session.close()

    async def async_add_upstream(self, name: str, *, work: float = 0.05) -> Upstream:
        """Start an upstream and register it."""
        host = own_host(UPSTREAM_NUMBER)
        upstream = Upstream(name, KEYED_SERVICE, host, self.record, self.upstreams)
        upstream.work = work
        await upstream.async_start()
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.entry())
        self.record.add("upstream started", name=name)
        return upstream

    def leader(self) -> str:
        """Return the router that holds the lease, by the record in the store."""
        lease = self.store.content("swiftpin-lease", "assigner")
        holder: str = lease["holder"] if lease else ""
        return holder.partition("/")[0]

    def next_id(self) -> str:
        """Return a request id that no client has sent before."""
        self._requests += 1
        return f"q{self._requests:06d}"

    async def async_call(self, router: str, path: str, key: int) -> str:
        """Send one request; return the status or the name of the error."""
        assert self._session is not None
        request_id = self.next_id()
        headers = {
            "Host": HOST,
            "Swiftpin-Request-Id": request_id,
            "Swiftpin-Deadline-Milliseconds": "2500",
            "Swiftpin-Shard-Key": str(key),
        }
        method = "POST" if path.startswith("/book/") else "GET"
        url = f"http://{self.routers[router].address}{path}"
        body = b"x" * 100 if method == "POST" else None
        self.record.add("sent", id=request_id, router=router, path=path, key=key)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body
            ) as response:
                await response.read()
                answer = str(response.status)
        except (ClientError, TimeoutError, OSError) as err:
            answer = type(err).__name__
        self.answers[request_id] = answer
        self.record.add("answered", id=request_id, answer=answer)
        return answer

    async def async_wait_until_served(self, router: str, seconds: float) -> None:
        """Wait until a router serves keys from the whole range."""

        async def async_is_served() -> bool:
            keys = range(0, 65536, 4099)
            answers = [self.async_call(router, "/read/x", key) for key in keys]
            return set(await asyncio.gather(*answers)) == {"200"}

        try:
            async with asyncio.timeout(seconds):
                while not await async_is_served():  # noqa: ASYNC110  # asked over HTTP
                    await asyncio.sleep(0.2)
        except TimeoutError:
            raise CannotRunError(f"{router} does not serve all keys") from None

    async def async_wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds."""
        try:
            async with asyncio.timeout(20.0):
                while not condition():  # noqa: ASYNC110  # not all have an event
                    await asyncio.sleep(0.01)
        except TimeoutError:
            raise CannotRunError(what) from None

    def _choose_key(self) -> int:
        """Return a random key, by the share of the busy ones one of these."""
        keys = range(65536)
        if self._rng.random() < self.busy_share:
            keys = self.busy_keys
        return self._rng.choice(keys)

    async def async_send_traffic(self, rate: float) -> None:
        """Send requests to all routers in rotation until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                router = self._rng.choice(
                    [it.name for it in self.routers.values() if it.is_in_rotation]
                )
                path = self._rng.choice(["/read/x", "/read/y", "/book/z"])
                key = self._choose_key()
                tasks.create_task(self.async_call(router, path, key))
                await asyncio.sleep(1 / rate)
