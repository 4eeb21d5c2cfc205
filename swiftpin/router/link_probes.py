"""Probes of links to targets that are lost or silent."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import ConnectionFailedError, RequestNotSentError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.target import Target
from swiftpin.relays.silence_watch import SilenceWatch
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.connection_limit import connection_limit

CHECK_INTERVAL: Final = 0.1
"""Seconds between two checks for links to probe."""

PROBE_TIMEOUT: Final = 0.3
"""Timeout of a probe in seconds; zones are milliseconds apart."""


class LinkProbes:
    """Opens connections to targets whose links are lost or seem silent.

    A connection that opens shows that the link works and is kept for the next request.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        links: TargetLinks,
        watch: SilenceWatch,
    ) -> None:
        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._links = links
        self._watch = watch
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(self) -> None:
        """Probe links until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL)
                now = suspend_aware_now()
                self._start_probes(now)
                self._watch.notify_silent(now)
        finally:
            for task in self._tasks:
                task.cancel()

    @callback
    def _start_probes(self, now: float) -> None:
        """Start the probes that are due."""
        suspects = [] if self._watch.is_idle else self._watch.take_suspects(now)
        targets_by_id = self._directory.targets_by_id
        if self._links.has_failures:
            lost = self._links.lost_targets(targets_by_id.keys(), now)
            suspects += self._watch.take_due(lost, now)
        for target_id in suspects:
            target = targets_by_id.get(target_id)
            if target is None:
                continue
            task = asyncio.create_task(self._async_probe(target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_probe(self, target: Target) -> None:
        """Probe one link."""
        configuration = self._configuration.current
        if configuration is None:
            return
        service = configuration.services_by_name.get(target.service)
        began_at = suspend_aware_now()
        try:
            await self._client.async_open_idle(
                target.address,
                connections=connection_limit(service),
                limit=PROBE_TIMEOUT,
            )
        except (ConnectionFailedError, TimeoutError) as err:
            now = suspend_aware_now()
            self._links.record_failure(target.id, f"probe: {err!r}", now)
            if not isinstance(err.__cause__, ConnectionError):
                # A refusal has come back, so open connections may still work.
                self._watch.handle_failed_probe(target.id, began_at, now)
        except RequestNotSentError:
            # All connections to the target are in use, so its link works or all of them
            # are silent; the requests on them show which.
            return
        else:
            self._links.record_working(target.id, suspend_aware_now())
