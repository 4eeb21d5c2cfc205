"""Tests of the configuration in force."""

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
    """Let a holder take a configuration from the store."""
    changed = PlatformObject(
        name="main",
        revision=1,
        is_deleted=False,
        document={"specification": document},
    )
    holder.adopt_changes((changed,), 1, 0.0)


async def test_long_configuration_lets_others_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heartbeats that wait while 2,000 routes are decoded."""
    now = iter(range(1_000_000))
    monkeypatch.setattr(time_slices, "monotonic_now", lambda: next(now) / 100_000)
    holder = ConfigurationHolder()
    adopt(holder, large_configuration(3, 2_000))
    turns = 0
    while holder.version != 3:
        await asyncio.sleep(0)
        turns += 1
    assert turns >= 5


async def test_newer_version_stays_while_an_older_one_is_decoded() -> None:
    """Guards against a long older configuration that replaces a short newer one."""
    holder = ConfigurationHolder()
    adopt(holder, large_configuration(3, 5_000))
    adopt(holder, configuration(4, ROUTES))
    for _ in range(200):
        await asyncio.sleep(0)
    assert holder.version == 4


def test_what_neighbours_get_is_what_was_read() -> None:
    """An instance passes on what the store holds."""
    holder, neighbour = ConfigurationHolder(), ConfigurationHolder()
    adopt(holder, configuration(4, ROUTES))
    neighbour.adopt_packed(holder.packed, 0.0)
    assert neighbour.current == holder.current
    assert neighbour.packed == holder.packed


@pytest.mark.parametrize("packed", [b"", b"x", zlib.compress(b"[]")])
def test_unreadable_configuration_ends_the_question(
    packed: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that asks nobody any more."""
    # A busy machine must not end the only slice that the decoding gets here.
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
