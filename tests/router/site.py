"""A complete small site: store, targets and instances in one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
import contextlib
from dataclasses import dataclass
from io import BytesIO
from itertools import count
import os
import socket
from typing import Any, Final

from aiohttp import ClientSession, TCPConnector

from swiftpin.discovery import target_directory as directory_module
from swiftpin.helpers.address import Address
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.model.bounds import Bounds
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.router import listeners, planned_stop
from swiftpin.router.app import Router
from tests.router.store_standin import StoreStandin
from tests.router.target_standin import TargetStandin

HOST = "desk.example"
DEFAULT_CALLER: Final = "127.0.0.1"
NO_HEADERS: Final[Mapping[str, str]] = {}
BOUNDS = Bounds(
    drain_limit=2.0,
    apply_limit=2.0,
    shutdown_grace=3.0,
    max_hold=10.0,
    retry_ratio=0.2,
    retry_window=10.0,
    retry_slack=56.0,
    stability_period=3.0,
    evacuation_limit=5.0,
    cold_overshoot=1.5,
    cold_slack=8.0,
)
MAX_WAIT = 15.0
COLD_RATE = 5.0
"""Requests per second that a cold target can serve."""


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Response that a caller received."""

    status: int
    body: bytes
    headers: dict[str, str]


def own_host(number: int) -> str:
    """Return a loopback address that only this process's tests listen on.

    On a shared address a concurrent test run could take a free port between its choice
    and its use, and a fixture failed with "address already in use".
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{10 + number}"


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports that nobody listens on."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with a keyed service `desk` and an unkeyed `vault`."""
    common = {
        "health_path": "/health",
        "max_connections": 110,
        "cold_start_s": 3.0,
        "cold_per_s": COLD_RATE,
    }
    services = [
        {"name": "desk", "sharding": True, "warmup_s": 3.0, **common},
        {"name": "vault", **common},
    ]
    return {
        "version": f"r{version}",
        "services": services,
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 1 << 20,
            "header_ms": 3000,
            "idle_ms": 15000,
        },
        "hosts": [{"host": HOST, "paths": routes}],
    }


def route(prefix: str, kind: str, service: str = "desk", **more: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the configuration of a route."""
    return {
        "name": f"r{prefix}",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 500,
        "priority": 1,
        "attempts": 2,
        "service": service,
        **more,
    }


ROUTES = [
    route("/read/", "safe"),
    route("/book/", "unsafe"),
    route("/files/", "download", "vault"),
    route("/slow/", "safe", timeout_ms=9000),
]


class Site:
    """Starts and stops the components; `async_call` acts as a caller."""

    def __init__(self, monkeypatch: Any) -> None:  # noqa: ANN401
        self.store = StoreStandin()
        self.targets_by_name: dict[str, TargetStandin] = {}
        self.routers_by_name: dict[str, Router] = {}
        self.settings_by_name: dict[str, InstanceSettings] = {}
        self.routes = ROUTES
        self._numbers = count(1)
        self._hosts = count(1)
        self._sessions_by_caller: dict[str, ClientSession] = {}
        monkeypatch.setattr(listeners, "METRICS_PORT", 0)
        monkeypatch.setattr(planned_stop, "BALANCER_REMOVAL_TIME", 0.2)
        monkeypatch.setattr(directory_module, "FIRST_LIST_SETTLE_TIME", 0.0)

    def earn_retry_credit(self) -> None:
        """Count some requests at every instance, since a new one has no retries."""
        for router in self.routers_by_name.values():
            for _ in range(10):
                router._sender.retries.count_request("desk", suspend_aware_now())

    async def async_setup(self, targets: int = 3, routers: int = 2) -> None:
        """Start all components and wait until all keys are served."""
        await self.store.async_setup()
        await self.async_start(targets, routers)

    async def async_start(self, targets: int, routers: int) -> None:
        """Start all but the store and wait until all keys are served."""
        self.store.put("config", "main", configuration(1, self.routes))
        for number in range(targets):
            await self.async_add_target(f"t{number}", "desk")
        await self.async_add_target("v0", "vault")
        for number in range(routers):
            await self.async_add_router(f"i{number}")
        await self.async_wait(self.is_served)

    async def async_unload(self) -> None:
        """Stop all components."""
        for name in list(self.routers_by_name):
            await self.async_remove_router(name)
        for target in self.targets_by_name.values():
            await target.async_unload()
        await self.store.async_unload()
        for session in self._sessions_by_caller.values():
            await session.close()

    async def async_add_target(
        self, name: str, service: str, *, zone: str = "z1", cold_ms: int = 0
    ) -> TargetStandin:
        """Start a target and register it."""
        target = self.make_target(name, is_keyed=service == "desk")
        target.zone = zone
        target.cold_ms = cold_ms
        await target.async_setup()
        self.targets_by_name[name] = target
        self.store.put("servers", name, target.entry(service))
        return target

    async def async_add_router(
        self,
        name: str,
        logging: LoggingSetup | None = None,
        *,
        first_start: bool = True,
    ) -> Router:
        """Start an instance."""
        host = own_host(next(self._hosts))
        callers, readiness, peers, relays = (
            Address(host=host, port=port) for port in free_ports(host, 4)
        )
        settings = InstanceSettings(
            name=name,
            zone="z1",
            caller_address=callers,
            readiness_address=readiness,
            peer_address=peers,
            relay_address=relays,
            seeds=(),
            store_address=Address(
                host="127.0.0.1", port=int(self.store.address.rpartition(":")[2])
            ),
            bounds=BOUNDS,
            target_heartbeat=0.9,
            cpu_capacity=1.0,
            bandwidth=0.0,
            first_start=first_start,
        )
        router = Router(settings, logging or LoggingSetup(BytesIO(), "info"))
        self.prepare(name, router)
        await router.async_setup()
        self.routers_by_name[name] = router
        self.settings_by_name[name] = settings
        return router

    def make_target(self, name: str, *, is_keyed: bool) -> TargetStandin:
        """Return a target that is not started yet."""
        return TargetStandin(name, is_keyed=is_keyed)

    def prepare(self, name: str, router: Router) -> None:
        """Prepare an instance before it starts."""

    async def async_remove_router(self, name: str) -> None:
        """Stop an instance at once, as a kill does."""
        await self.routers_by_name.pop(name).async_unload()

    def leader(self) -> str:
        """Return the name of the instance that assigns keys, or "" if there is none."""
        lease = self.store.objects_by_path.get(("swiftpin-lease", "assigner"))
        holder: str = lease["specification"]["holder"] if lease else ""
        return holder.partition("/")[0]

    def is_served(self) -> bool:
        """Return whether every instance knows an owner for every key."""
        return all(
            (key_map := router._maps.maps_by_service.get("desk")) is not None
            and all(key_map.owners)
            for router in self.routers_by_name.values()
        )

    def is_owner(self, target: str) -> bool:
        """Return whether a target owns keys in any instance's key map."""
        return any(
            target in router._maps.maps_by_service["desk"].owners
            for router in self.routers_by_name.values()
        )

    async def async_wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(MAX_WAIT):
            while not condition():  # noqa: ASYNC110  # not all conditions have an event
                await asyncio.sleep(0.01)

    def next_request_id(self) -> str:
        """Return an id that no request had before."""
        return f"q{next(self._numbers)}"

    async def async_call(
        self,
        path: str,
        *,
        via: str = "i0",
        key: int | None = 1,
        method: str = "GET",
        body: bytes = b"",
        deadline: int = 2000,
        request_id: str | None = None,
        caller: str = DEFAULT_CALLER,
        more_headers: Mapping[str, str] = NO_HEADERS,
    ) -> Reply:
        """Send a request from a caller's address, by default with a new id."""
        headers = {
            **more_headers,
            "Host": HOST,
            "Swiftpin-Request-Id": request_id or self.next_request_id(),
            "Swiftpin-Deadline-Milliseconds": str(deadline),
        }
        if key is not None:
            headers["Swiftpin-Shard-Key"] = str(key)
        address = self.settings_by_name[via].caller_address
        async with self._session_of(caller).request(
            method, f"http://{address}{path}", headers=headers, data=body or None
        ) as response:
            return Reply(
                status=response.status,
                body=await response.read(),
                headers={**response.headers, "id": headers["Swiftpin-Request-Id"]},
            )

    def _session_of(self, caller: str) -> ClientSession:
        """Return the connections of a caller."""
        session = self._sessions_by_caller.get(caller)
        if session is None:
            is_default = caller == DEFAULT_CALLER
            connector = TCPConnector(local_addr=None if is_default else (caller, 0))
            session = ClientSession(connector=connector)
            self._sessions_by_caller[caller] = session
        return session

    def count_runs(self, request_id: str) -> int:
        """Return how often targets have run a request."""
        return sum(
            target.runs.count(request_id) for target in self.targets_by_name.values()
        )
