"""Composition of one instance."""

from __future__ import annotations

import asyncio
import os
from random import Random
from typing import Final

from eliot import log_message

from swiftpin.config.catalog import Catalog
from swiftpin.config.config_name import ConfigName
from swiftpin.const import STORE_PREFIX_CONFIG
from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.admin_server import AdminServer
from swiftpin.gateway.crash_guard import CrashGuard
from swiftpin.gateway.decision_log import DecisionLog
from swiftpin.gateway.graceful_stop import GracefulStop
from swiftpin.gateway.held_groups import HeldGroups
from swiftpin.gateway.housekeeping import Housekeeping
from swiftpin.gateway.instance_status import InstanceStatus
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.listeners import Listeners
from swiftpin.gateway.live_collector import LiveCollector
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.ownership_log import OwnershipLog
from swiftpin.gateway.record_factory import RecordFactory
from swiftpin.gateway.request_serving import RequestServing
from swiftpin.gateway.result_trace import ResultTrace
from swiftpin.gateway.route_explainer import RouteExplainer
from swiftpin.gateway.settings import Settings
from swiftpin.gateway.target_lives import TargetLives
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.membership.cached_object import CachedObject
from swiftpin.ownership.coordinator import OwnershipCoordinator
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.timing import Timing
from swiftpin.security.edge_security import EdgeSecurity
from swiftpin.security.secured_membership import SecuredMembership
from swiftpin.store.client import DEFAULT_CALL_TIMEOUT
from swiftpin.targets.client import TargetClient
from swiftpin.trace.writer import TraceWriter

INCARNATION_BYTES: Final = 4
LEASE_STORE_TIMEOUT: Final = 0.3
"""Seconds for a store call about a lease: while a store hangs, a lost target's keys
wait for it before they move without it, and are to be served again within 2 s."""


class Gateway:
    """One instance, from its settings to its stop.

    The coordinators are made here and nowhere else.
    """

    def __init__(self, settings: Settings, logging: LoggingSetup) -> None:
        self.settings = settings
        self.instance_id = f"{settings.name}/{os.urandom(INCARNATION_BYTES).hex()}"
        self.stop_wanted = asyncio.Event()
        self._logging = logging
        self._rng = Random(self.instance_id)
        self._trace = _open_trace(settings)
        self._security = security = EdgeSecurity(settings)
        self._store = security.create_store_client(
            self.instance_id, DEFAULT_CALL_TIMEOUT
        )
        self._lease_store = security.create_store_client(
            self.instance_id, LEASE_STORE_TIMEOUT
        )
        self._lifecycle = Lifecycle()
        self._metrics = Metrics()
        self._catalog = Catalog()
        self._records = self._make_records()
        self._queues = TargetQueues(self._rng)
        self._lives = TargetLives(
            lambda spec: TargetClient(security.target_session, spec)
        )
        self._crashes = CrashGuard(self._records.quarantine, self._lives)
        self._groups = HeldGroups(
            self._records.journal,
            self._queues,
            self._rng,
            async_prepare=self._async_prepare_group,
            stop_limit=settings.stop_limit,
        )
        self._membership = self._make_membership()
        self._ownership = self._make_ownership()
        self._serving = self._make_serving()
        self._status = InstanceStatus(
            instance_id=self.instance_id,
            zone=settings.zone,
            catalog=self._catalog,
            ownership=self._ownership,
            lifecycle=self._lifecycle,
        )
        self._metrics.registry.register(self._make_collector())
        self._admin = AdminServer(
            self._metrics,
            self._status,
            RouteExplainer(self._catalog, self._ownership),
        )
        self.listeners = Listeners(
            settings, self._serving.handler, self._admin, security
        )
        self._stop = GracefulStop(
            name=settings.name,
            limit=settings.stop_limit,
            lifecycle=self._lifecycle,
            catalog=self._catalog,
            directory=self._membership.directory,
            ownership=self._ownership,
            listeners=self.listeners,
            serving=self._serving,
        )
        self._housekeeping = Housekeeping(self._serving, self._lives, self._crashes)
        self._ready_task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Listen and start; return before the store was read.

        Raises `ConfigurationError` when a port cannot be used.
        """
        await self.listeners.async_setup()
        cache = self._membership.cache
        cache.subscribe(STORE_PREFIX_CONFIG, self._adopt_config)
        self._catalog.subscribe(self._note_change)
        await self._async_set_up_membership()
        await self._ownership.async_setup()
        self._ready_task = asyncio.create_task(self._async_become_ready())
        self._housekeeping.setup()
        self._security.setup()
        log_message(
            message_type="instance_started",
            instance=self.instance_id,
            zone=self.settings.zone,
            listen=str(self.listeners.callers),
        )

    async def async_stop(self) -> None:
        """Leave gracefully, then unload; what passed the limit is cut off."""
        await self._stop.async_stop()
        await self.async_unload()

    async def async_unload(self) -> None:
        """Stop everything at once, in the opposite order of the set-up."""
        if self._ready_task is not None:
            self._ready_task.cancel()
            await asyncio.gather(self._ready_task, return_exceptions=True)
        await self._housekeeping.async_unload()
        await self.listeners.async_unload()
        await self._serving.async_unload()
        await self._groups.async_unload()
        await self._membership.async_unload()
        await self._security.async_unload()
        if self._trace is not None:
            self._trace.close()
        log_message(message_type="instance_stopped", instance=self.instance_id)

    # Making of the parts

    def _make_records(self) -> RecordFactory:
        """Return what makes journals and quarantines."""
        return RecordFactory(
            instance_id=self.instance_id,
            store=self._store,
            catalog=self._catalog,
            send_until=lambda group, now: self._ownership.send_until(group, now),
            rng=self._rng,
        )

    def _make_collector(self) -> LiveCollector:
        """Return what reads metrics from the other parts."""
        return LiveCollector(
            lifecycle=self._lifecycle,
            handler=self._serving.handler,
            queues=self._queues,
            groups=self._groups,
            ownership=self._ownership,
            stores=(self._store, self._lease_store),
            peers=self._membership.counters,
            log_writer=self._logging.writer,
        )

    def _make_membership(self) -> SecuredMembership:
        """Return what knows of the store and of other instances."""
        membership = SecuredMembership(
            instance_id=self.instance_id,
            zone=self.settings.zone,
            store=self._store,
            session=self._security.session,
            instances_url=self.settings.instances_url,
            peer_listen=str(self.settings.peer_listen),
            seed=self._rng.getrandbits(32),
        )
        membership.set_tls(self._security.peer_client, self._security.peers)
        return membership

    def _make_ownership(self) -> OwnershipCoordinator:
        """Return what holds groups, and let it answer other instances."""
        settings = self.settings
        ownership = OwnershipCoordinator(
            instance_id=self.instance_id,
            zone=settings.zone,
            store=self._lease_store,
            session=self._security.target_session,
            cache=self._membership.cache,
            publish=self._membership.publish,
            catalog=self._catalog,
            directory=self._membership.directory,
            peers=self._membership.clients,
            events=OwnershipLog(self.instance_id, self._trace),
            listener=self._groups,
            timing=Timing(
                heartbeat_interval=settings.heartbeat_interval,
                holder_limit=settings.holder_limit,
                grant_interval=settings.grant_interval,
                grant_ttl=settings.grant_ttl,
                outage_limit=settings.outage_limit,
            ),
        )
        self._membership.attach_handler(ownership)
        return ownership

    def _make_serving(self) -> RequestServing:
        """Return the request path, and let it hear of targets' lives."""
        serving = RequestServing(
            catalog=self._catalog,
            ownership=self._ownership,
            lifecycle=self._lifecycle,
            groups=self._groups,
            queues=self._queues,
            crashes=self._crashes,
            decisions=DecisionLog(self._logging.destination, self.settings.log_sample),
            metrics=self._metrics,
            trace=ResultTrace(self.instance_id, self._trace),
            rng=self._rng,
            request_limit=self.settings.request_limit,
            target_tls=self._security.target_client,
            peer_tls=self._security.peer_client,
        )
        self._lives.on_start = self._queues.start_ramp
        self._lives.on_probe = serving.balanced_dispatcher.record_probe
        return serving

    # While it runs

    async def _async_set_up_membership(self) -> None:
        """Listen for other instances, and name the flag when that fails."""
        try:
            await self._membership.async_setup()
        except ConfigurationError as err:
            listen = str(self.settings.peer_listen)
            raise ConfigurationError(f"--peer-listen {listen!r}: {err}") from err

    async def _async_prepare_group(self, group: GroupId) -> None:
        """Learn which of the group's requests earlier holders suspected."""
        service = self._catalog.service(group.service)
        if service is not None:
            await self._crashes.async_sync(service)

    @callback
    def _adopt_config(self, obj: CachedObject) -> None:
        """Put a declaration in force that came from the store or as news."""
        self._catalog.adopt_stored(obj.name, obj.body)

    @callback
    def _note_change(self, name: ConfigName) -> None:
        """Drop removed targets; leave when a planned stop names this instance."""
        self._queues.forget_removed(self._catalog.services_by_name)
        if self._stop.is_planned:
            self.stop_wanted.set()

    async def _async_become_ready(self) -> None:
        """Take requests once the declarations are known."""
        await self._membership.async_wait_loaded()
        self._lifecycle.loaded = True
        log_message(message_type="instance_ready", instance=self.instance_id)


def _open_trace(settings: Settings) -> TraceWriter | None:
    """Return the writer of the trace file, None when none was asked for."""
    if settings.trace is None:
        return None
    try:
        return TraceWriter(settings.trace)
    except OSError as err:
        raise ConfigurationError(f"--trace {str(settings.trace)!r}: {err}") from err
