"""Tests of the distribution of large configurations over slow links."""

from __future__ import annotations

from typing import Final

import orjson
import pytest

from tests.fleet.virtual_time import run_in_virtual_time
from tests.router.slow_links import Outcome, async_distribute, large_configuration

ROUTES: Final = 2_000
VERSIONS: Final = 5
PAUSE: Final = 0.6
SLOW_LINK: Final = 5e6 / 8
"""Bytes per second of a link of 5 Mbit/s."""

APPLY_LIMIT: Final = 1.5
DELAY_LIMIT: Final = 0.1


def spread_versions(count: int) -> Outcome:
    """Return the outcome of large configurations published in quick succession."""
    documents = [large_configuration(1 + v, ROUTES) for v in range(count)]
    return run_in_virtual_time(
        async_distribute(
            documents,
            members=24,
            watchers=4,
            bandwidth=SLOW_LINK,
            watcher_bandwidth=SLOW_LINK * 40,
            pause=PAUSE,
            settle=4.0,
        )
    )


@pytest.fixture(name="spread", scope="module")
def spread_fixture() -> Outcome:
    """Return the outcome of a series of configurations."""
    return spread_versions(VERSIONS)


def test_large_configuration_becomes_active_in_time(spread: Outcome) -> None:
    """Guards against instances that fall further behind with each version."""
    delays = [spread.max_delay(version) for version in range(1, VERSIONS + 1)]
    assert max(delays) < APPLY_LIMIT


def test_heartbeats_do_not_wait_behind_documents(spread: Outcome) -> None:
    """Guards against links that count as lost while a document is sent."""
    instances = [*spread.members, *spread.watchers]
    assert max(max(m.heartbeat_delays) for m in instances) < DELAY_LIMIT
    assert spread.links_lost == 0


@pytest.mark.parametrize("versions", [1, VERSIONS])
def test_configuration_is_sent_once_to_each_instance(versions: int) -> None:
    """Guards against a document that is requested again while it is sent."""
    spread = spread_versions(versions)
    size = len(orjson.dumps(large_configuration(1, ROUTES)))
    max_bytes = max(member.incoming.bytes_from_peers for member in spread.members)
    assert max_bytes < 2 * size * versions
