"""A running request path for tests."""

from __future__ import annotations

import io
from random import Random
from typing import Final

from aiohttp import ClientSession

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.quarantine import Quarantine
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.gateway.crash_guard import CrashGuard
from swiftpin.gateway.decision_log import DecisionLog
from swiftpin.gateway.held_groups import HeldGroups
from swiftpin.gateway.http_listener import (
    FORWARD_HEADERS,
    FORWARD_LINE,
    MAX_HEADERS,
    MAX_LINE,
    HttpListener,
)
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.live_collector import LiveCollector
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.request_serving import RequestServing
from swiftpin.gateway.result_trace import ResultTrace
from swiftpin.gateway.target_lives import TargetLives
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.helpers.address import Address
from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.ownership.group_id import GroupId
from swiftpin.targets.client import TargetClient
from tests.dispatch.fake_store import FakeStore
from tests.gateway.fake_ownership import FakeOwnership

GROUP: Final = GroupId(service="desk", group=1)
TERM: Final = 4


class GatewayFixture:
    """A running request path and what it wrote."""

    def __init__(self, ownership: FakeOwnership, catalog: Catalog) -> None:
        self.store = FakeStore()
        self.session = ClientSession()
        self.lifecycle = Lifecycle(loaded=True)
        self.metrics = Metrics()
        self.writer = LineWriter(io.BytesIO())
        self.queues = TargetQueues(Random(1))
        self.lives = TargetLives(lambda spec: TargetClient(self.session, spec))
        self.crashes = CrashGuard(self._make_quarantine, self.lives)
        self.groups = HeldGroups(
            self._make_journal,
            self.queues,
            Random(1),
            async_prepare=self._async_prepare,
            stop_limit=5.0,
        )
        self.ownership = ownership
        self.serving = RequestServing(
            catalog=catalog,
            ownership=ownership,
            lifecycle=self.lifecycle,
            groups=self.groups,
            queues=self.queues,
            crashes=self.crashes,
            decisions=DecisionLog(KeyValueDestination(self.writer, "info"), 1.0),
            metrics=self.metrics,
            trace=ResultTrace("g1/aa", None),
            rng=Random(1),
            request_limit=100,
        )
        self.handler = self.serving.handler
        self.address = ""
        self.forward_address = ""
        self._listener = HttpListener(
            self.handler.async_handle_caller, max_line=MAX_LINE, max_headers=MAX_HEADERS
        )
        self._forward_listener = HttpListener(
            self.handler.async_handle_forwarded,
            max_line=FORWARD_LINE,
            max_headers=FORWARD_HEADERS,
        )

    @property
    def lines(self) -> list[str]:
        """Return the log lines so far."""
        return list(self.writer._lines)

    def collector(self) -> LiveCollector:
        """Return what reads metrics from the parts."""
        return LiveCollector(
            lifecycle=self.lifecycle,
            handler=self.handler,
            queues=self.queues,
            groups=self.groups,
            ownership=self.ownership,
            stores=(),
            peers=PeerCounters(),
            log_writer=self.writer,
        )

    async def async_setup(self) -> None:
        """Listen on free ports."""
        anywhere = Address(host="127.0.0.1", port=0)
        self.address = str(await self._listener.async_setup(anywhere))
        self.forward_address = str(await self._forward_listener.async_setup(anywhere))
        await self.async_acquire()

    async def async_acquire(self) -> None:
        """Hold the group, with an open journal."""
        self.groups.group_acquired(GROUP, TERM)
        await self.groups._openings_by_group[GROUP]

    async def async_unload(self) -> None:
        """Close everything."""
        await self._listener.async_unload()
        await self._forward_listener.async_unload()
        await self.serving.async_unload()
        await self.groups.async_unload()
        await self.lives.async_unload()
        await self.session.close()

    async def _async_prepare(self, group: GroupId) -> None:
        """Have nothing to prepare."""

    def _make_quarantine(self, service: Service) -> Quarantine:
        """Return a quarantine over the store in memory."""
        return Quarantine(
            self.store, service.name, exclusive=True, wall=WallClock(offset=0.0)
        )

    def _make_journal(self, group: GroupId) -> IdempotencyJournal:
        """Return a journal over the store in memory."""
        return IdempotencyJournal(
            self.store,
            group,
            "g1/aa",
            JournalSettings(min_interval=0.001),
            Random(1),
            is_confirmed=lambda now: self.ownership.holding,
            wall=WallClock(offset=0.0),
        )
