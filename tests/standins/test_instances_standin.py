"""Tests of the stand-in instance list."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

from aiohttp import ClientSession
import pytest

from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.listed_instance import parse_instance


@pytest.fixture
async def instances() -> AsyncIterator[InstancesStandin]:
    """Return a running list of two instances."""
    listed = [parse_instance(f"i{n},z{n},h:1,h:2,h:3") for n in (1, 2)]
    standin = InstancesStandin(lag=5.0, instances=listed)
    await standin.async_start()
    yield standin
    await standin.async_stop()


def _states(instances: InstancesStandin, now: float) -> dict[str, str]:
    """Return the listed states by name."""
    return {item.name: item.state.value for item in instances.listed(now)}


async def test_list_has_the_documented_fields(
    session: ClientSession, instances: InstancesStandin
) -> None:
    """The document has the fields of docs/protocols.md."""
    async with session.get(f"{instances.url}/v1/instances") as response:
        document: dict[str, Any] = await response.json()
    assert document["instances"][0] == {
        "name": "i1",
        "zone": "z1",
        "state": "live",
        "peer": "h:1",
        "forward": "h:2",
        "admin": "h:3",
    }


async def test_change_shows_after_the_lag(instances: InstancesStandin) -> None:
    """The list shows the old state until the lag has passed."""
    instances.change_state("i1", InstanceState.LEAVING, 10.0)
    assert _states(instances, 14.9) == {"i1": "live", "i2": "live"}
    assert _states(instances, 15.0) == {"i1": "leaving", "i2": "live"}


async def test_gone_instance_is_not_listed(instances: InstancesStandin) -> None:
    """Gone instances leave the list."""
    instances.change_state("i1", InstanceState.GONE, 10.0)
    assert _states(instances, 15.0) == {"i2": "live"}


async def test_change_over_http_keeps_other_fields(
    session: ClientSession, instances: InstancesStandin
) -> None:
    """Fields left out of a change stay."""
    instances.faults.lag_ms = 0
    url = f"{instances.url}/_standin/instances/i2"
    async with session.put(url, json={"state": "leaving"}) as response:
        assert (await response.json())["zone"] == "z2"
    assert _states(instances, float("inf"))["i2"] == "leaving"


async def test_new_instance_needs_all_fields(
    session: ClientSession, instances: InstancesStandin
) -> None:
    """A half-described instance is refused."""
    url = f"{instances.url}/_standin/instances/i3"
    async with session.put(url, json={"state": "live"}) as response:
        assert response.status == 400
