"""A gateway's request path with fakes at its borders."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from swiftpin.config.catalog import Catalog
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.route import Route
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GROUP, TERM, GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import ScriptedServer

PROFILE = Profile(
    name="desk",
    classes=(
        RequestClass(
            name="booking",
            methods=frozenset({"POST"}),
            path="/bookings*",
            priority=0,
            repeatable=False,
        ),
        RequestClass(
            name="once",
            methods=frozenset({"PUT"}),
            path="/once*",
            priority=0,
            repeatable=False,
        ),
        RequestClass(
            name="lookup",
            methods=frozenset(),
            path="*",
            priority=1,
            repeatable=True,
        ),
    ),
    default_timeout=5.0,
    body_limit=1024 * 1024,
)


@pytest.fixture
def catalog() -> Catalog:
    """Return declarations of one keyed service."""
    declared = Catalog()
    declared._profiles_by_name["desk"] = PROFILE
    declared._services_by_name["desk"] = Service(
        name="desk", profile="desk", keyed=True
    )
    return declared


@pytest.fixture
def ownership() -> FakeOwnership:
    """Return an ownership without routes."""
    return FakeOwnership()


@pytest_asyncio.fixture
async def target(ownership: FakeOwnership) -> AsyncIterator[ScriptedServer]:
    """Return a target that owns every key at this instance."""
    server = ScriptedServer()
    await server.async_setup()
    ownership.routes = [local_route(server.address)]
    yield server
    await server.async_unload()


@pytest_asyncio.fixture
async def gateway(
    ownership: FakeOwnership, catalog: Catalog
) -> AsyncIterator[GatewayFixture]:
    """Return a running request path."""
    fixture = GatewayFixture(ownership, catalog)
    await fixture.async_setup()
    yield fixture
    await fixture.async_unload()


@pytest_asyncio.fixture
async def caller(gateway: GatewayFixture) -> AsyncIterator[RawCaller]:
    """Return a connected caller."""
    connected = RawCaller(gateway.address)
    await connected.async_setup()
    yield connected
    await connected.async_unload()


def local_route(
    address: str, *, forward_address: str | None = None, holder: str = "g1/aa"
) -> Route:
    """Return a route to the target at the address."""
    return Route(
        group=GROUP,
        slice_id=7,
        target=TargetSpec(id="t1", address=address, zone="a"),
        term=TERM,
        holder=holder,
        forward_address=forward_address,
        reason="owner",
    )
