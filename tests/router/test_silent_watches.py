"""Tests of a whole small site whose watches fall silent."""

from __future__ import annotations

from typing import Final

from swiftpin.discovery.store_follower import UNCONFIRMED_GRACE, UNCONFIRMED_WAIT
from swiftpin.fleet.link import MAX_HEARTBEAT_INTERVAL
from swiftpin.helpers.clock import suspend_aware_now
from tests.router.site import Site

LEARNING_TIME: Final = UNCONFIRMED_WAIT + UNCONFIRMED_GRACE + MAX_HEARTBEAT_INTERVAL
"""Seconds within which the holder of the lease learns of a change and tells it."""

SLACK: Final = 3.0
"""Seconds for a busy machine; far below the 15 s of a watch that is waited for."""


async def test_change_whose_watches_were_all_lost_is_learnt(site: Site) -> None:
    """Symptom: every instance sent to a target for seconds after it had left.

    Sequence: the answers to all watches that told of it were lost, no other call was;
    each instance heard that the others knew nothing newer.
    Cause: whoever was heard confirmed what was known, though its watch was silent too.
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
    began_at = suspend_aware_now()
    await site.async_wait(lambda: store.lost_watches >= len(site.routers_by_name))
    store.loses_watches = False
    await site.async_wait(
        lambda: all(
            router._directory.is_leaving("t0")
            for router in site.routers_by_name.values()
        )
    )
    assert suspend_aware_now() - began_at < LEARNING_TIME + SLACK
