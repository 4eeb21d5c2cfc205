"""Integration tests of watches whose answers are lost."""

from __future__ import annotations

from typing import Final

from swiftpin.discovery.store_follower import UNCONFIRMED_GRACE, UNCONFIRMED_WAIT
from swiftpin.fleet.link import MAX_HEARTBEAT_INTERVAL
from swiftpin.helpers.clock import suspend_aware_now
from tests.router.site import Site

MAX_NOTIFICATION_TIME: Final = (
    UNCONFIRMED_WAIT + UNCONFIRMED_GRACE + MAX_HEARTBEAT_INTERVAL
)
"""Seconds within which the lease holder learns of a change and announces it."""

SLACK: Final = 3.0
"""Extra seconds for a busy machine; far below the 15 s that a watch may last."""


async def test_change_is_learnt_although_all_watch_answers_were_lost(
    site: Site,
) -> None:
    """Guards against requests to a target for seconds after it has left.

    The answers to all watches were lost, but no other call. The instances confirmed
    each other's outdated version although none of them had a working watch.
    """
    store = site.store
    await site.async_wait(
        lambda: all(
            router._fleet.gossip.holder_view.is_confirmed()
            or router._lease.is_held(suspend_aware_now())
            for router in site.routers_by_name.values()
        )
    )
    store.loses_watches = True
    draining = site.targets_by_name["t0"].entry("desk", state="draining")
    store.put("servers", "t0", draining)
    started_at = suspend_aware_now()
    await site.async_wait(lambda: store.lost_watches >= len(site.routers_by_name))
    store.loses_watches = False
    await site.async_wait(
        lambda: all(
            router._directory.is_leaving("t0")
            for router in site.routers_by_name.values()
        )
    )
    assert suspend_aware_now() - started_at < MAX_NOTIFICATION_TIME + SLACK
