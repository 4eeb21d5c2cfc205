"""Composition of the request path."""

from __future__ import annotations

from random import Random

from swiftpin.config.catalog import Catalog
from swiftpin.core import callback
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.target_sender import TargetSender
from swiftpin.gateway.balanced_dispatcher import BalancedDispatcher
from swiftpin.gateway.crash_guard import CrashGuard
from swiftpin.gateway.deadline_watch import DeadlineWatch
from swiftpin.gateway.decision_log import DecisionLog
from swiftpin.gateway.forwarder import Forwarder
from swiftpin.gateway.held_groups import HeldGroups
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.once_dispatcher import OnceDispatcher
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_handler import RequestHandler
from swiftpin.gateway.request_parser import RequestParser
from swiftpin.gateway.request_router import RequestRouter
from swiftpin.gateway.result_trace import ResultTrace
from swiftpin.gateway.retry_policy import RetryPolicy
from swiftpin.gateway.target_dispatcher import TargetDispatcher
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.gateway.target_runner import TargetRunner
from swiftpin.security.client_tls import ClientTls


class RequestServing:
    """Everything between a request's arrival and its answer."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        ownership: Ownership,
        lifecycle: Lifecycle,
        groups: HeldGroups,
        queues: TargetQueues,
        crashes: CrashGuard,
        decisions: DecisionLog,
        metrics: Metrics,
        trace: ResultTrace,
        rng: Random,
        request_limit: int,
        target_tls: ClientTls | None = None,
        peer_tls: ClientTls | None = None,
    ) -> None:
        self.client = HttpClient(tls=target_tls)
        self._peer_client = HttpClient(tls=peer_tls)
        self._deadlines = DeadlineWatch()
        runner = TargetRunner(
            queues,
            TargetSender(self.client),
            crashes,
            self._deadlines,
            groups.losses,
            ownership.record_work,
        )
        dispatcher = TargetDispatcher(ownership, runner)
        self.balanced_dispatcher = BalancedDispatcher(catalog, runner, rng)
        self._once_dispatcher = OnceDispatcher(dispatcher, groups)
        self._queues = queues
        router = RequestRouter(
            ownership,
            dispatcher,
            self._once_dispatcher,
            self.balanced_dispatcher,
            Forwarder(self._peer_client),
            RetryPolicy(rng),
            metrics,
        )
        self.handler = RequestHandler(
            RequestParser(catalog),
            router,
            decisions,
            metrics,
            trace,
            lifecycle,
            self._deadlines,
            limit=request_limit,
        )

    async def async_wait_idle(self) -> None:
        """Wait until nothing is in flight, with or without its caller."""
        await self.handler.async_wait_idle()
        await self._once_dispatcher.async_wait_idle()

    async def async_unload(self) -> None:
        """End what still goes on and close every connection."""
        self._deadlines.unload()
        self._queues.unload()
        await self._once_dispatcher.async_unload()
        self.client.unload()
        self._peer_client.unload()

    @callback
    def close_idle(self, now: float) -> None:
        """Close connections that nobody uses."""
        self.client.close_idle(now)
        self._peer_client.close_idle(now)
