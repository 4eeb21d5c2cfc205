"""Tests of running instances that share the slack of the retry budgets."""

from __future__ import annotations

import pytest

from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.router import fleet_size
from tests.router.site import BOUNDS, Site

SHARE_DELAY = 1.0
"""Seconds after which an instance has its share in these tests."""


@pytest.fixture(autouse=True)
def settle_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time until instances have their share."""
    monkeypatch.setattr(
        fleet_size, "ANNOUNCEMENT_TIME", SHARE_DELAY - BOUNDS.retry_window
    )


def members(site: Site) -> dict[str, int | None]:
    """Return how many instances share the slack, as known to each instance."""
    now = suspend_aware_now()
    return {
        name: router._sender.retries.members(now)
        for name, router in site.routers_by_name.items()
    }


async def test_connected_instances_share_the_slack(site: Site) -> None:
    """The lease holder and the member count each other."""
    await site.async_wait(lambda: members(site) == {"i0": 2, "i1": 2})


async def test_restarted_instance_has_no_share_at_first(site: Site) -> None:
    """Failure: a restarted process spent slack that it had spent before the restart."""
    await site.async_wait(lambda: members(site) == {"i0": 2, "i1": 2})
    restarted = next(name for name in site.routers_by_name if name != site.leader())
    await site.async_remove_router(restarted)
    started_at = suspend_aware_now()
    router = await site.async_add_router(restarted)
    await site.async_wait(lambda: members(site)[restarted] is not None)
    assert suspend_aware_now() - started_at > SHARE_DELAY
    assert router._sender.retries.members(suspend_aware_now()) in (2, 3)


async def test_instance_keeps_its_share_when_the_holder_is_lost(site: Site) -> None:
    """Failure: the remaining instance spent the share that the lost one had spent."""
    await site.async_wait(lambda: members(site) == {"i0": 2, "i1": 2})
    lost = site.leader()
    (remaining,) = site.routers_by_name.keys() - {lost}
    await site.async_remove_router(lost)
    await site.async_wait(lambda: site.leader() == remaining)
    await site.async_wait(lambda: members(site)[remaining] is not None)
    assert members(site) == {remaining: 2}
