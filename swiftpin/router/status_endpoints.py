"""HTTP endpoints for readiness and metrics."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp.web import BaseRequest, Response, StreamResponse

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.platform.names import PATH_READINESS
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.instance_capacity import InstanceCapacity
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.metrics import Metrics

PATH_METRICS: Final = "/metrics"

MAX_MAP_WAIT: Final = 6.0
"""Seconds after the start from which an instance is ready even without key maps, so
that it serves the services that need none."""


class StatusEndpoints:
    """Serves the readiness and the metrics endpoint."""

    def __init__(
        self,
        *,
        started_at: float,
        lifecycle: Lifecycle,
        configuration: ConfigurationHolder,
        maps: KeyMaps,
        lease: LeaseElection,
        health: StoreHealth,
        metrics: Metrics,
        capacity: InstanceCapacity,
    ) -> None:
        self._started_at = started_at
        self._lifecycle = lifecycle
        self._configuration = configuration
        self._maps = maps
        self._lease = lease
        self._health = health
        self._metrics = metrics
        self._capacity = capacity

    @callback
    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send callers to this instance."""
        configuration = self._configuration.current
        if configuration is None or self._lifecycle.leaving:
            return False
        if self._configuration.lag.is_refusing(now) or self._capacity.is_withdrawn:
            return False
        if now - self._started_at > MAX_MAP_WAIT:
            return True
        return all(
            service.name in self._maps.maps_by_service
            for service in configuration.services_by_name.values()
            if service.is_keyed
        )

    async def async_readiness(self, request: BaseRequest) -> StreamResponse:
        """Answer the load balancer's readiness check."""
        if request.path != PATH_READINESS:
            return Response(status=HTTPStatus.NOT_FOUND)
        if self.is_ready(suspend_aware_now()):
            return Response(status=HTTPStatus.OK)
        return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def async_metrics(self, request: BaseRequest) -> StreamResponse:
        """Return the metrics in Prometheus' text format."""
        if request.path != PATH_METRICS:
            return Response(status=HTTPStatus.NOT_FOUND)
        # Imported with the first scrape; see `Metrics` for the reason.
        from swiftpin.router.metrics_registry import expose

        now = asyncio.get_running_loop().time()
        self._metrics.capacity = self._capacity.collect_metrics(now)
        self._metrics.leads = self._lease.is_held(suspend_aware_now())
        self._metrics.store_lost = self._health.is_lost
        self._metrics.configuration = self._configuration.version
        return Response(body=expose(self._metrics))
