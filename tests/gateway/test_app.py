"""One whole instance with stand-ins of the platform and of targets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import io
from typing import Any

from aiohttp import ClientSession
import pytest_asyncio

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.envelope import encode_config_object
from swiftpin.gateway.app import Gateway
from swiftpin.gateway.settings import Settings
from swiftpin.helpers.address import Address
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.result import ResultCode
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_faults import StoreFaults
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from swiftpin.store.client import StoreClient
from tests.gateway.raw_caller import RawCaller

ANYWHERE = Address(host="127.0.0.1", port=0)
PATIENCE = 15.0
TARGETS = ("t1", "t2", "t3")


async def async_until(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the check holds; fail when it does not for long."""
    async with asyncio.timeout(PATIENCE):
        while not await check():  # noqa: ASYNC110 - the check is a request
            await asyncio.sleep(0.01)


class World:
    """Stand-ins, one instance and what it logged."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session
        self.store = StoreStandin()
        self.instances = InstancesStandin()
        self.targets = [TargetStandin(TargetOptions(name=name)) for name in TARGETS]
        self.log = io.BytesIO()
        self.gateway: Gateway

    async def async_setup(self) -> None:
        """Start the stand-ins and the instance."""
        await self.store.async_start()
        await self.instances.async_start()
        for target in self.targets:
            await target.async_start()
        self.gateway = Gateway(
            Settings(
                name="g1",
                zone="z1",
                listen=ANYWHERE,
                peer_listen=ANYWHERE,
                forward_listen=ANYWHERE,
                admin_listen=ANYWHERE,
                store_url=self.store.url,
                instances_url=self.instances.url,
                stop_limit=10.0,
            ),
            LoggingSetup(self.log, "info"),
        )
        await self.gateway.async_setup()

    async def async_unload(self) -> None:
        """Stop everything."""
        await self.gateway.async_unload()
        for target in self.targets:
            await target.async_stop()
        await self.instances.async_stop()
        await self.store.async_stop()

    async def async_apply(
        self, kind: ConfigKind, name: str, document: dict[str, Any]
    ) -> None:
        """Write a declaration to the store."""
        config_name = ConfigName(kind=kind, name=name)
        config_object = ConfigObject(
            id=config_name,
            generation=1,
            writer="test",
            author="test",
            written_at=0.0,
            document=document,
        )
        store = StoreClient(self.session, self.store.url)
        await store.async_put(
            config_name.store_name, encode_config_object(config_object)
        )

    async def async_apply_desk(self) -> None:
        """Declare the keyed service and wait until a key is served."""
        await self.async_apply(
            ConfigKind.SERVICE,
            "desk",
            {
                "apiVersion": "swiftpin/v1",
                "kind": "Service",
                "metadata": {"name": "desk"},
                "spec": {
                    "profile": "default",
                    "keyed": True,
                    "slices": 8,
                    "groups": 1,
                    "targets": [
                        {"id": name, "address": str(target.address), "zone": "z1"}
                        for name, target in zip(TARGETS, self.targets, strict=True)
                    ],
                },
            },
        )
        await async_until(self.async_is_served)

    async def async_is_served(self) -> bool:
        """Return whether a lookup is answered by a target."""
        async with self.session.get(
            f"http://{self.gateway.listeners.callers}/desk/a",
            headers={"Swiftpin-Key": "k1"},
        ) as answer:
            return answer.headers["Swiftpin-Result"] == str(ResultCode.ANSWERED.value)

    async def async_is_busy(self) -> bool:
        """Return whether a target runs a request."""
        return any(target._boot.slots.busy for target in self.targets)

    async def async_admin(self, path: str) -> tuple[int, str]:
        """Return status and text of an admin page."""
        async with self.session.get(
            f"http://{self.gateway.listeners.admin}{path}"
        ) as answer:
            return answer.status, await answer.text()

    async def async_admin_json(self, path: str) -> Any:  # noqa: ANN401 - a document
        """Return the JSON of an admin page."""
        async with self.session.get(
            f"http://{self.gateway.listeners.admin}{path}"
        ) as answer:
            return await answer.json()


@pytest_asyncio.fixture
async def world() -> AsyncIterator[World]:
    """Return a running instance."""
    async with ClientSession() as session:
        running = World(session)
        await running.async_setup()
        yield running
        await running.async_unload()


async def test_operators_see_what_the_instance_does(world: World) -> None:
    """Health, status, explanation and metrics tell of a served key."""
    await world.async_apply_desk()
    assert await world.async_admin("/healthz") == (200, "ok\n")
    assert await world.async_admin("/readyz") == (200, "ready\n")
    status = await world.async_admin_json("/v1/status")
    assert status["instance"] == world.gateway.instance_id
    assert (status["zone"], status["ready"], status["leaving"]) == ("z1", True, False)
    assert status["generations"] == {"service/desk": 1}
    (held,) = status["groups_held"]
    assert (held["service"], held["group"]) == ("desk", 0)
    route = await world.async_admin_json("/v1/explain?service=desk&key=k1")
    assert route["target"] in TARGETS
    assert route["holder"] == world.gateway.instance_id
    _, text = await world.async_admin("/metrics")
    assert 'swiftpin_requests_total{class="default-safe",entry="caller"' in text
    assert "swiftpin_groups_held 1.0" in text
    assert "swiftpin_ready 1.0" in text


async def test_explanation_of_what_is_not_served(world: World) -> None:
    """Explaining fails as the request path would."""
    answer = await world.async_admin_json("/v1/explain?service=nothing&key=k1")
    assert answer["code"] == ResultCode.UNKNOWN_SERVICE


async def test_stop_lets_requests_in_flight_end(world: World) -> None:
    """Symptom: a planned stop cuts off a booking that was running.

    A lookup runs at its target when the instance is told to stop. The instance is
    not ready any more at once, and its ports close only after the answer was given.
    """
    await world.async_apply_desk()
    caller = RawCaller(str(world.gateway.listeners.callers))
    await caller.async_setup()
    await caller.async_send(headers="X-Work-Ms: 1500\r\n")
    await async_until(world.async_is_busy)
    stopping = asyncio.create_task(world.gateway.async_stop())
    await asyncio.sleep(0)
    assert await world.async_admin("/readyz") == (503, "leaving\n")
    answer = await caller.async_read()
    assert answer.result == ResultCode.ANSWERED
    assert answer.headers_by_name["connection"] == "close"
    await stopping
    await caller.async_unload()


async def test_planned_stop_of_the_instance_begins_a_stop(world: World) -> None:
    """An operator's order in the store is as good as a signal."""
    await world.async_apply(
        ConfigKind.PLANNED_STOP,
        "tonight",
        {
            "apiVersion": "swiftpin/v1",
            "kind": "PlannedStop",
            "metadata": {"name": "tonight"},
            "spec": {"instance": "g1", "limit": 30},
        },
    )
    await asyncio.wait_for(world.gateway.stop_wanted.wait(), PATIENCE)
    assert world.gateway._stop.limit == 30.0


async def test_instance_is_not_ready_without_the_declarations() -> None:
    """An instance that has read no store calls no service unknown."""
    async with ClientSession() as session:
        world = World(session)
        world.store.faults = StoreFaults(outage=True)
        await world.async_setup()
        assert await world.async_admin("/readyz") == (503, "starting\n")
        caller = RawCaller(str(world.gateway.listeners.callers))
        await caller.async_setup()
        assert (await caller.async_call()).result == ResultCode.NOT_READY
        await caller.async_unload()
        await world.async_unload()
