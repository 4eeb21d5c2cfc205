"""Tests of large configurations on their way to instances behind thin links."""

from __future__ import annotations

from typing import Final

import orjson
import pytest

from tests.fleet.virtual_time import run_in_virtual_time
from tests.router.slow_links import Outcome, async_distribute, large_configuration

ROUTES: Final = 2_000
VERSIONS: Final = 5
PAUSE: Final = 0.6
THIN_LINK: Final = 5e6 / 8
"""Bytes a second of a link of 5 Mbit/s."""

APPLY_LIMIT: Final = 1.5
DELAY_LIMIT: Final = 0.1


def spread_versions(count: int) -> Outcome:
    """Return what large configurations in quick succession do to a fleet."""
    documents = [large_configuration(1 + v, ROUTES) for v in range(count)]
    return run_in_virtual_time(
        async_distribute(
            documents,
            members=24,
            watchers=4,
            bandwidth=THIN_LINK,
            watcher_bandwidth=THIN_LINK * 40,
            pause=PAUSE,
            settle=4.0,
        )
    )


@pytest.fixture(name="spread", scope="module")
def spread_fixture() -> Outcome:
    """Return what a series of configurations did."""
    return spread_versions(VERSIONS)


def test_large_configuration_is_in_force_in_time(spread: Outcome) -> None:
    """Guards against instances that fall ever further behind successive versions."""
    waits = [spread.max_delay(version) for version in range(1, VERSIONS + 1)]
    assert max(waits) < APPLY_LIMIT


def test_heartbeats_do_not_wait_behind_documents(spread: Outcome) -> None:
    """Guards against links that count as lost while a document is on its way."""
    everyone = [*spread.members, *spread.watchers]
    assert max(max(m.heartbeat_delays) for m in everyone) < DELAY_LIMIT
    assert spread.links_lost == 0


@pytest.mark.parametrize("versions", [1, VERSIONS])
def test_configuration_is_sent_once_to_each_instance(versions: int) -> None:
    """Guards against a document that is asked for again while it is on its way."""
    spread = spread_versions(versions)
    size = len(orjson.dumps(large_configuration(1, ROUTES)))
    most = max(member.incoming.bytes_from_peers for member in spread.members)
    assert most < 2 * size * versions
