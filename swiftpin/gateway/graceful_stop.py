"""The graceful stop of an instance."""

from __future__ import annotations

import asyncio
from typing import Final

from eliot import log_message

from swiftpin.config.catalog import Catalog
from swiftpin.core import callback
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.listeners import Listeners
from swiftpin.gateway.request_serving import RequestServing
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.ownership.coordinator import OwnershipCoordinator

LEAVING_TIME: Final = 1.0
"""Seconds for which a leaving instance still takes requests, so that the balancer and
other instances have learnt of it before its ports close."""


class GracefulStop:
    """Hands over and lets requests in flight end.

    `limit` is in seconds; a planned stop of the instance may set another one. What
    still runs after it is cut off by whoever unloads the instance next.
    """

    def __init__(
        self,
        *,
        name: str,
        limit: float,
        lifecycle: Lifecycle,
        catalog: Catalog,
        directory: InstanceDirectory,
        ownership: OwnershipCoordinator,
        listeners: Listeners,
        serving: RequestServing,
    ) -> None:
        self._name = name
        self._limit = limit
        self._lifecycle = lifecycle
        self._catalog = catalog
        self._directory = directory
        self._ownership = ownership
        self._listeners = listeners
        self._serving = serving

    @property
    def is_planned(self) -> bool:
        """Return whether a planned stop names this instance."""
        return bool(self._planned_limits())

    @property
    def limit(self) -> float:
        """Return the seconds that requests in flight may take."""
        return min(self._planned_limits(), default=self._limit)

    async def async_stop(self) -> None:
        """Leave; return when nothing is in flight or the limit has passed."""
        limit = self.limit
        log_message(message_type="instance_leaving", limit=limit)
        self._lifecycle.leaving = True
        try:
            async with asyncio.timeout(limit):
                await self._async_leave()
        except TimeoutError:
            log_message(
                message_type="stop_limit_passed",
                level="error",
                in_flight=self._serving.handler.in_flight,
            )

    async def _async_leave(self) -> None:
        """Hand over, stop listening and wait for what is in flight.

        Without another instance nobody would renew the targets' grants after a
        hand-over, and requests in flight would lapse: then they end first.
        """
        hands_over = self._has_others()
        if hands_over:
            await self._ownership.async_unload()
        await asyncio.sleep(LEAVING_TIME)
        self._listeners.stop_listening()
        await self._serving.async_wait_idle()
        if not hands_over:
            await self._ownership.async_unload()

    @callback
    def _has_others(self) -> bool:
        """Return whether the platform lists another live instance."""
        return any(
            name != self._name and not info.leaving
            for name, info in self._directory.instances_by_name.items()
        )

    @callback
    def _planned_limits(self) -> list[float]:
        """Return the limits of the planned stops of this instance."""
        return [
            stop.limit
            for stop in self._catalog.planned_stops_by_name.values()
            if stop.instance == self._name
        ]
