"""Tests of the active configuration."""

from __future__ import annotations

import asyncio
import zlib

import orjson
import pytest

from swiftpin.helpers import time_slices
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.router.configuration_holder import ConfigurationHolder
from tests.router.site import ROUTES, configuration
from tests.router.slow_links import large_configuration


def adopt(holder: ConfigurationHolder, document: object) -> None:
    """Pass a configuration read from the store to a holder."""
    changed = PlatformObject(
        name="main",
        revision=1,
        is_deleted=False,
        document={"specification": document},
    )
    holder.adopt_changes((changed,), 1, 0.0)


async def test_decoding_a_large_configuration_yields_to_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heartbeats delayed by the decoding of 2,000 routes."""
    ticks = iter(range(1_000_000))
    monkeypatch.setattr(time_slices, "monotonic_now", lambda: next(ticks) / 100_000)
    holder = ConfigurationHolder()
    adopt(holder, large_configuration(3, 2_000))
    iterations = 0
    while holder.version != 3:
        await asyncio.sleep(0)
        iterations += 1
    assert iterations >= 5


async def test_newer_version_stays_while_an_older_one_is_decoded() -> None:
    """Guards against a large old configuration that replaces a small newer one."""
    holder = ConfigurationHolder()
    adopt(holder, large_configuration(3, 5_000))
    adopt(holder, configuration(4, ROUTES))
    for _ in range(200):
        await asyncio.sleep(0)
    assert holder.version == 4


def test_neighbours_receive_the_configuration_that_was_read() -> None:
    """An instance forwards the configuration exactly as the store holds it."""
    holder, neighbour = ConfigurationHolder(), ConfigurationHolder()
    adopt(holder, configuration(4, ROUTES))
    neighbour.adopt_packed(holder.packed, 0.0)
    assert neighbour.current == holder.current
    assert neighbour.packed == holder.packed


@pytest.mark.parametrize("packed", [b"", b"x", zlib.compress(b"[]")])
def test_unreadable_configuration_completes_the_request(
    packed: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that sends no further requests to neighbours."""
    # Without an event loop there is only one time slice; a stopped clock keeps a busy
    # machine from exceeding it.
    monkeypatch.setattr(time_slices, "monotonic_now", lambda: 0.0)
    done: list[bool] = []
    holder = ConfigurationHolder()
    holder.adopt_packed(packed, 0.0, lambda: done.append(True))
    assert done == [True]
    holder.adopt_packed(
        zlib.compress(orjson.dumps(configuration(4, ROUTES))), 0.0, done.clear
    )
    assert not done
    assert holder.version == 4
