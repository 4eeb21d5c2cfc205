"""Tests of a holder's link to one target."""

from __future__ import annotations

import asyncio
from typing import Final, cast

import pytest

from swiftpin.config.target_spec import TargetSpec
from swiftpin.exceptions import TargetError
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.target_link import TargetLink
from swiftpin.targets.client import TargetClient
from swiftpin.targets.fence_reply import FenceReply
from swiftpin.targets.fence_request import FenceRequest
from tests.ownership.world import GROUP, TIMING

TIMEOUT: Final = 5.0


class SilentClient:
    """Client of a target that never answers."""

    def __init__(self) -> None:
        self.spec = TargetSpec(id="t0", address="127.0.0.1:1", zone="z0")
        self.fenced = asyncio.Event()

    async def async_fence(self, request: FenceRequest) -> FenceReply:
        """Fail to reach the target."""
        self.fenced.set()
        raise TargetError("no answer from t0")


@pytest.mark.parametrize("steps", range(5))
async def test_link_ends_when_it_is_stopped_after_a_nudge(steps: int) -> None:
    """Guards against a link that goes on when a nudge and its stop come together."""
    client = SilentClient()
    link = TargetLink(
        client=cast(TargetClient, client),
        lease=Lease(group=GROUP, term=1, holder="i0/1", boots_by_target=None),
        timing=TIMING,
        may_grant=lambda now: True,
        on_change=lambda: None,
        on_acknowledged=lambda: None,
        on_fenced=lambda err: None,
    )
    link.start()
    await client.fenced.wait()
    link.nudge()
    for _ in range(steps):
        await asyncio.sleep(0)
    stopping = asyncio.create_task(link.async_stop())
    done, _ = await asyncio.wait({stopping}, timeout=TIMEOUT)
    assert done
