"""One instance of the router."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
import os
from random import Random
from typing import Final

from aiohttp.web import BaseRequest, Response, StreamResponse
from eliot import log_message
from prometheus_client import generate_latest

from swiftpin.core import callback
from swiftpin.discovery.store_follower import StoreFollower
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import ConfigurationError, RequestNotSentError
from swiftpin.gateway.http_listener import HttpHandler, HttpListener
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.address import Address
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.keyranges.const import CONTROL_TIMEOUT
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.names import (
    KIND_CONFIGURATION,
    KIND_TARGETS,
    PATH_READINESS,
)
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.fleet_coordinator import FleetCoordinator
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.leader import Leader
from swiftpin.router.metrics import Metrics
from swiftpin.router.poison_watch import PoisonWatch
from swiftpin.router.request_handler import RequestHandler
from swiftpin.router.request_log import RequestLog
from swiftpin.router.request_sender import RequestSender

METRICS_PORT: Final = 9464
PATH_METRICS: Final = "/metrics"

CONNECT_TIMEOUT: Final = 0.5
"""Seconds to open a connection; zones are milliseconds apart, and a lost opening
packet is sent again after one second anyway."""

IDLE_LIMIT: Final = 5.0
"""Seconds for which connections to targets lie idle where they do not say more."""

MAX_LINE: Final = 16 * 1024
MAX_HEADERS: Final = 128

MAP_WAIT: Final = 6.0
"""Seconds after the start at which an instance counts as ready without key maps: the
services that need none are served meanwhile."""

BALANCER_TIME: Final = 2.4
"""Seconds for which a leaving instance still listens: the balancer asks once a second
and takes it out after two refusals."""

STOP_MARGIN: Final = 0.8
"""Seconds before the end of the grace period at which the process ends by itself: to
close everything takes a slow instance some tenths of a second."""

WAITING_SHARE: Final = 0.6
"""Part of the grace period for which requests may still wait for a slot; the rest is
for those that a target has."""

WORK_MARGIN: Final = 0.5
"""Seconds beyond a request's deadline until its target has surely stopped: the way to
it, and a clock that runs slow. A change of the configuration may have shortened
timeouts moments ago."""

STOP_TICK: Final = 0.02
"""Seconds between two looks whether a leaving instance may end."""

HOUSEKEEPING: Final = 1.0
"""Seconds between two rounds of closing idle connections."""


class Router:
    """Wires the parts of an instance and runs its tasks."""

    def __init__(self, settings: InstanceSettings, logging: LoggingSetup) -> None:
        self.stop_wanted = asyncio.Event()
        self._settings = settings
        self._logging = logging
        self._started_at = suspend_aware_now()
        incarnation = f"{settings.name}/{os.urandom(4).hex()}"
        self._incarnation = incarnation
        rng = Random(incarnation)
        self._lifecycle = Lifecycle()
        self._metrics = Metrics()
        self._health = StoreHealth()
        self._configuration = ConfigurationHolder()
        self._directory = TargetDirectory(self._health, settings.bounds.drain)
        self._directory.unusable.on_unusable = self._metrics.note_unusable_entry
        self._maps = KeyMaps()
        self._poison = PoisonWatch()
        self._store_http = HttpClient(connect_limit=CONNECT_TIMEOUT)
        self._store = StoreClient(
            str(settings.store), self._store_http, self._metrics.note_store_call
        )
        self._client = HttpClient(
            connect_limit=CONNECT_TIMEOUT, accepts_unframed=True, idle_limit=IDLE_LIMIT
        )
        self._control_http = HttpClient(
            connect_limit=CONNECT_TIMEOUT,
            idle_limit=IDLE_LIMIT,
            untaken_limit=CONTROL_TIMEOUT,
        )
        self._control = TargetControl(self._control_http, self._check_lease)
        self._permits = PermitBroker(incarnation, settings.zone)
        self._lease = LeaseElection(
            name=settings.name,
            incarnation=incarnation,
            peer=str(settings.peers),
            client=self._store,
            health=self._health,
            rng=rng,
            strength=settings.strength,
            is_holder_heard=self._is_holder_heard,
        )
        self._fleet = FleetCoordinator(
            incarnation=incarnation,
            own_peer=str(settings.peers),
            strength=settings.strength,
            seeds=settings.seeds,
            lease=self._lease,
            permits=self._permits,
            maps=self._maps,
            configuration=self._configuration,
            directory=self._directory,
            lifecycle=self._lifecycle,
            health=self._health,
            poison=self._poison,
        )
        self._lease.on_seen = self._fleet.note_lease
        self._leader = Leader(
            lease=self._lease,
            configuration=self._configuration,
            make_assigner=self._make_assigner,
            knows_targets=self._directory.knows_targets,
        )
        self._fleet.on_load = self._leader.take_load
        self._sender = RequestSender(
            client=self._client,
            configuration=self._configuration,
            directory=self._directory,
            maps=self._maps,
            permits=self._permits,
            bounds=settings.bounds,
            poison=self._poison,
        )
        self._handler = RequestHandler(
            configuration=self._configuration,
            sender=self._sender,
            lifecycle=self._lifecycle,
            log=RequestLog(logging.destination, self._maps, self._metrics),
        )
        self._configuration.on_change = self._note_configuration
        self._directory.on_change = self._note_targets
        self._callers = self._listener(self._handler.async_handle)
        self._readiness = self._listener(self._async_readiness)
        self._metrics_listener = self._listener(self._async_metrics)
        self._tasks: list[asyncio.Task[None]] = []

    async def async_setup(self) -> None:
        """Listen and start all tasks."""
        settings = self._settings
        log_message(
            message_type="instance_started",
            incarnation=self._incarnation,
            zone=settings.zone,
            callers=str(settings.callers),
            store=str(settings.store),
        )
        await self._fleet.links.async_setup(settings.peers)
        await self._readiness.async_setup(settings.readiness)
        await self._callers.async_setup(settings.callers)
        metrics = Address(host=settings.peers.host, port=METRICS_PORT)
        await self._metrics_listener.async_setup(metrics)
        configuration = StoreFollower(
            KIND_CONFIGURATION,
            self._store,
            self._configuration,
            self._health,
            neighbours=self._fleet.gossip.holder,
        )
        targets = StoreFollower(
            KIND_TARGETS,
            self._store,
            self._directory,
            self._health,
            may_skip_watch=self._fleet.gossip.may_skip_watch,
            neighbours=self._fleet.gossip.holder,
        )
        coroutines = [configuration.async_run(), targets.async_run()]
        coroutines += [
            self._lease.async_run(),
            self._leader.async_run(),
            self._fleet.async_run(self._take_load),
            self._permits.async_run(),
            self._async_housekeeping(),
        ]
        for coroutine in coroutines:
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._note_task_ended)
            self._tasks.append(task)

    async def async_stop(self) -> None:
        """Leave: serve what is in flight, give duties away, end in time."""
        log_message(message_type="instance_leaving", in_flight=self._handler.in_flight)
        self._lifecycle.leaving = True
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._settings.bounds.grace - STOP_MARGIN
        listens_until = loop.time() + BALANCER_TIME
        waits_until = loop.time() + self._settings.bounds.grace * WAITING_SHARE
        while loop.time() < ends_at:
            if not self._keeps_lease():
                await self._lease.async_give_up()
            if loop.time() >= listens_until:
                self._callers.stop_listening()
                self._handler.refuse_new()
            if loop.time() >= waits_until:
                self._handler.refuse_waiting()
                if not self._handler.in_flight and not self._keeps_lease():
                    break
            await asyncio.sleep(STOP_TICK)
        await self._lease.async_give_up()
        log_message(message_type="instance_stopped", in_flight=self._handler.in_flight)

    @callback
    def _keeps_lease(self) -> bool:
        """Return whether nobody could take the lease over now.

        While the store is away a lease that is given up stays without a holder, and
        all keys lose their owners when the targets' grants end.
        """
        return self._health.is_lost and self._lease.is_held(suspend_aware_now())

    async def async_unload(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in (self._callers, self._readiness, self._metrics_listener):
            await listener.async_unload()
        await self._fleet.links.async_unload()
        self._handler.unload()
        for client in (self._client, self._control_http, self._store_http):
            client.unload()

    @callback
    def apply_settings(self, settings: InstanceSettings) -> None:
        """Take new bounds; addresses stay until the next start."""
        log_message(
            message_type="settings_reloaded", changed=settings != self._settings
        )
        self._settings = settings
        self._directory.set_drain(settings.bounds.drain)
        self._sender.set_bounds(settings.bounds)

    @callback
    def note_bad_settings(self, err: ConfigurationError) -> None:
        """Note settings that can't be used; the present ones stay."""
        log_message(message_type="settings_refused", level="error", error=str(err))

    @callback
    def _listener(self, handler: HttpHandler) -> HttpListener:
        """Return a listener that is not set up yet."""
        return HttpListener(handler, max_line=MAX_LINE, max_headers=MAX_HEADERS)

    @callback
    def _is_ready(self, now: float) -> bool:
        """Return whether callers should be sent here."""
        configuration = self._configuration.current
        if configuration is None or self._lifecycle.leaving:
            return False
        if now - self._started_at > MAP_WAIT:
            return True
        return all(
            service.name in self._maps.maps_by_service
            for service in configuration.services_by_name.values()
            if service.is_keyed
        )

    async def _async_readiness(self, request: BaseRequest) -> StreamResponse:
        """Answer the balancer."""
        if request.path != PATH_READINESS:
            return Response(status=HTTPStatus.NOT_FOUND)
        if self._is_ready(suspend_aware_now()):
            return Response(status=HTTPStatus.OK)
        return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _async_metrics(self, request: BaseRequest) -> StreamResponse:
        """Answer with the metrics."""
        if request.path != PATH_METRICS:
            return Response(status=HTTPStatus.NOT_FOUND)
        now = suspend_aware_now()
        self._metrics.leads.set(self._lease.is_held(now))
        self._metrics.store_lost.set(self._health.is_lost)
        self._metrics.lines_dropped.set(self._logging.writer.dropped)
        self._metrics.configuration.set(self._configuration.version)
        return Response(body=generate_latest(self._metrics.registry))

    @callback
    def _check_lease(self, now: float) -> None:
        """Hold back a call to a target when this instance may not assign keys."""
        if not self._lease.is_held(suspend_aware_now()):
            raise RequestNotSentError("the lease has ended")

    @callback
    def _is_holder_heard(self, holder: str) -> bool:
        """Return whether the lease's holder says that it still has it."""
        return self._fleet.is_heard(holder)

    @callback
    def _make_assigner(self, service: str, fences: Fences) -> RangeAssigner:
        """Return a assigner for a service's keys."""
        configuration = self._configuration.current
        assert configuration is not None
        return RangeAssigner(
            service=service,
            client=self._store,
            control=self._control,
            directory=self._directory,
            lease=self._lease,
            fences=fences,
            health=self._health,
            longest_hold=self._settings.bounds.longest_hold,
            health_path=configuration.services_by_name[service].health_path,
            on_map=self._fleet.hand_out_map,
            count_members=lambda: self._permits.issuers.members,
            longest_request=self._longest_request,
        )

    @callback
    def _longest_request(self) -> float:
        """Return after how many seconds no request sent before is at work any more."""
        configuration = self._configuration.current
        longest = 0.0 if configuration is None else configuration.longest_timeout
        return longest + WORK_MARGIN

    @callback
    def _take_load(self) -> LoadReport:
        """Return what was noted since the last call."""
        self._sender.members = self._permits.issuers.members
        report, self._sender.load = self._sender.load, LoadReport()
        return report

    @callback
    def _note_configuration(self) -> None:
        """Act on a new configuration."""
        self._handler.note_configuration()
        self._note_targets()

    @callback
    def _note_targets(self) -> None:
        """Tell the permits which targets there are."""
        now = suspend_aware_now()
        configuration = self._configuration.current
        if configuration is None:
            return
        for service in configuration.services_by_name:
            targets = self._directory.serving_targets(service, now)
            self._permits.set_targets(service, targets)

    async def _async_housekeeping(self) -> None:
        """Close idle connections again and again."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HOUSEKEEPING)
            self._directory.sweep(suspend_aware_now())
            for client in (self._client, self._control_http, self._store_http):
                client.close_idle(loop.time())

    @callback
    def _note_task_ended(self, task: asyncio.Task[None]) -> None:
        """End the process when a part of it broke: the platform starts it again."""
        if task.cancelled():
            return
        log_message(
            message_type="task_failed", level="error", error=repr(task.exception())
        )
        self.stop_wanted.set()
