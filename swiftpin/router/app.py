"""Composition root of one router instance."""

from __future__ import annotations

import asyncio
import os
from random import Random
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_follower import StoreFollower
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.permits.cold_targets import ColdTargets
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.names import (
    KIND_CONFIGURATION,
    KIND_EVACUATIONS,
    KIND_TARGETS,
)
from swiftpin.platform.store_client import StoreClient
from swiftpin.poison.open_sends import OpenSends
from swiftpin.poison.suspect_table import SuspectTable
from swiftpin.poison.suspicion import LifeSign, UnansweredSend
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_choice import RelayChoice
from swiftpin.relays.silence_watch import SilenceWatch
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.assigner_factory import AssignerFactory
from swiftpin.router.background_tasks import BackgroundTasks
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.fleet_coordinator import FleetCoordinator
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.fleet_size import FleetSize
from swiftpin.router.holder_link_check import HolderLinkCheck
from swiftpin.router.http_clients import HttpClients
from swiftpin.router.instance_capacity import InstanceCapacity
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.known_lives import KnownLives
from swiftpin.router.leader import Leader
from swiftpin.router.link_probes import LinkProbes
from swiftpin.router.listeners import Listeners
from swiftpin.router.metrics import Metrics
from swiftpin.router.overload_view import OverloadView
from swiftpin.router.planned_stop import PlannedStop
from swiftpin.router.relay_handler import RelayHandler
from swiftpin.router.request_handler import RequestHandler
from swiftpin.router.request_log import RequestLog
from swiftpin.router.request_sender import RequestSender
from swiftpin.router.send_cutoff import SendCutoff
from swiftpin.router.status_endpoints import StatusEndpoints
from swiftpin.router.target_notices import TargetNotices
from swiftpin.router.target_ways import TargetWays
from swiftpin.router.uneven_services import find_uneven_services

LINK_SHARE: Final = 0.25
"""Share of the descriptors that links which other instances open may take."""

HOUSEKEEPING_INTERVAL: Final = 1.0
"""Seconds between two runs of the periodic clean-up."""


class Router:
    """Creates and connects the components of an instance and runs their tasks."""

    def __init__(self, settings: InstanceSettings, logging: LoggingSetup) -> None:
        self.stop_requested = asyncio.Event()
        self._settings = settings
        incarnation = f"{settings.name}/{os.urandom(4).hex()}"
        self._incarnation = incarnation
        self._lifecycle = Lifecycle()
        self._send_cutoff = SendCutoff()
        self._metrics = Metrics()
        self._metrics.set_log_writer(logging.writer)
        self._health = StoreHealth()
        self._configuration = ConfigurationHolder()
        self._configuration.lag.set_apply_limit(settings.bounds.apply_limit)
        self._evacuations = Evacuations(settings.bounds.evacuation_limit)
        self._directory = TargetDirectory(
            self._health, settings.bounds.drain_limit, self._evacuations
        )
        self._directory.unusable_entries.on_unusable = (
            self._metrics.record_unusable_entry
        )
        self._maps = KeyMaps()
        self._suspects = SuspectTable()
        self._open_sends = OpenSends()
        self._fleet_size = FleetSize()
        self._target_links = TargetLinks()
        self._silence_watch = SilenceWatch(self._target_links)
        self._relays = RelayChoice(settings.zone)
        self._clients = HttpClients()
        self._store = StoreClient(
            str(settings.store_address),
            self._clients.store,
            self._metrics.record_store_call,
        )
        self._permits = PermitBroker(
            incarnation,
            settings.zone,
            self._metrics.record_turnaround,
            suspects=self._suspects,
            expects_overload=settings.expects_overload,
        )
        self._metrics.set_reservation_counts(self._permits.reservation_counts)
        self._metrics.set_queue_counts(self._permits.queue_counts)
        self._permits.hot_keys.on_rejection = self._metrics.record_hot_key_rejection
        self._lease = LeaseElection(
            name=settings.name,
            incarnation=incarnation,
            peer=str(settings.peer_address),
            client=self._store,
            health=self._health,
            rng=Random(incarnation),
            cpu_capacity=settings.cpu_capacity,
            first_start=settings.first_start,
            is_holder_alive=self._is_holder_alive,
            has_live_links=self._has_live_links,
            has_lost_target_links=self._has_lost_target_links,
        )
        self._fleet = FleetCoordinator(
            incarnation=incarnation,
            own_peer=str(settings.peer_address),
            cpu_capacity=settings.cpu_capacity,
            bandwidth=settings.bandwidth,
            seeds=settings.seeds,
            lease=self._lease,
            permits=self._permits,
            maps=self._maps,
            configuration=self._configuration,
            directory=self._directory,
            lifecycle=self._lifecycle,
            health=self._health,
            suspects=self._suspects,
            open_sends=self._open_sends,
            lives=KnownLives(
                directory=self._directory,
                health=self._health,
                links=self._target_links,
                request_probe=self._silence_watch.request_probe,
                heartbeat=settings.target_heartbeat,
            ),
            fleet_size=self._fleet_size,
            own_relay=Relay(address=str(settings.relay_address), zone=settings.zone),
            target_links=self._target_links,
            relays=self._relays,
        )
        self._metrics.set_link_traffic(self._fleet.links.traffic)
        self._fleet.links.max_incoming = settings.max_descriptors * LINK_SHARE
        self._notices = TargetNotices(
            clients=self._clients,
            configuration=self._configuration,
            directory=self._directory,
            rate_reports=self._permits.rate_reports,
            drain_reports=self._fleet.drain_reports,
            on_drain=self._update_permit_targets,
            suspects=self._suspects,
            cutoff=self._send_cutoff,
            on_life_sign=self._handle_life_sign,
        )
        self._suspects.on_quarantined = self._permits.abort_quarantined
        live_targets = self._permits.copies.live_targets
        live_targets.has_worked_since = self._target_links.has_worked_since
        live_targets.request_probe = self._silence_watch.request_probe
        live_targets.can_reach_targets = self._target_links.can_reach_targets
        self._permits.copies.on_answered = self._handle_answered
        self._permits.copies.on_unanswered = self._handle_unanswered
        self._open_sends.on_unanswered = self._handle_unanswered
        self._lease.on_record = self._fleet.known_leader.adopt_record
        link_check = HolderLinkCheck(
            directory=self._directory,
            links=self._target_links,
            relay_directory=self._fleet.relay_directory,
            health=self._health,
        )
        self._assigner_factory = AssignerFactory(
            settings=settings,
            client=self._store,
            control_http=self._clients.control,
            configuration=self._configuration,
            directory=self._directory,
            lease=self._lease,
            health=self._health,
            permits=self._permits,
            key_maps=self._fleet.key_maps,
            may_plan=link_check.may_plan,
            listener=self._notices.listener,
        )
        self._leader = Leader(
            lease=self._lease,
            configuration=self._configuration,
            make_assigner=self._assigner_factory.make,
            link_check=link_check,
        )
        self._fleet.load_reports.on_load = self._leader.handle_load_report
        ways = TargetWays(
            client=self._notices.client,
            links=self._target_links,
            watch=self._silence_watch,
            relays=self._relays,
        )
        ways.on_relays_needed = self._request_relays
        self._relay_handler = RelayHandler(
            client=self._notices.client,
            configuration=self._configuration,
            directory=self._directory,
            lifecycle=self._lifecycle,
            links=self._target_links,
            cutoff=self._send_cutoff,
        )
        self._link_probes = LinkProbes(
            client=self._clients.targets,
            configuration=self._configuration,
            directory=self._directory,
            links=self._target_links,
            watch=self._silence_watch,
        )
        self._sender = RequestSender(
            ways=ways,
            configuration=self._configuration,
            directory=self._directory,
            maps=self._maps,
            permits=self._permits,
            bounds=settings.bounds,
            suspects=self._suspects,
            open_sends=self._open_sends,
            on_refused=self._handle_refused_resend,
            fleet_size=self._fleet_size,
            links=self._target_links,
            backoffs=self._notices.backoffs,
            may_move_keys=self._fleet.holder_reaches_store,
            cutoff=self._send_cutoff,
        )
        request_log = RequestLog(
            destination=logging.destination,
            maps=self._maps,
            directory=self._directory,
            metrics=self._metrics,
        )
        self._capacity = InstanceCapacity(settings, incarnation)
        self._capacity.fleet_view = OverloadView(self._fleet.links, self._permits).view
        self._fleet.heartbeats.is_overloaded = self._capacity.is_overloaded
        self._handler = RequestHandler(
            configuration=self._configuration,
            sender=self._sender,
            lifecycle=self._lifecycle,
            cutoff=self._send_cutoff,
            log=request_log,
            capacity=self._capacity,
        )
        self._configuration.on_change = self._handle_configuration_change
        self._directory.on_change = self._update_permit_targets
        self._evacuations.on_change = self._update_permit_targets
        self._maps.on_change = self._handle_key_map_change
        status_endpoints = StatusEndpoints(
            started_at=suspend_aware_now(),
            lifecycle=self._lifecycle,
            configuration=self._configuration,
            maps=self._maps,
            lease=self._lease,
            health=self._health,
            metrics=self._metrics,
            capacity=self._capacity,
        )
        self._listeners = Listeners(
            handler=self._handler.async_handle,
            on_unparsed=request_log.write_unparsed,
            relayed=self._relay_handler.async_handle,
            status=status_endpoints,
            capacity=self._capacity,
        )
        self._planned_stop = PlannedStop(
            lifecycle=self._lifecycle,
            lease=self._lease,
            health=self._health,
            callers=self._listeners.callers,
            handler=self._handler,
            relayed=self._relay_handler,
            cutoff=self._send_cutoff,
        )
        self._notices.backoffs.on_began = self._handle_backoff
        # The platform restarts a process that exits.
        self._tasks = BackgroundTasks(on_failed=self.stop_requested.set)

    async def async_setup(self) -> None:
        """Start the listeners and all background tasks."""
        settings = self._settings
        log_message(
            message_type="instance_started",
            incarnation=self._incarnation,
            zone=settings.zone,
            callers=str(settings.caller_address),
            store=str(settings.store_address),
        )
        await self._fleet.links.async_setup(settings.peer_address)
        await self._listeners.async_setup(settings)
        configuration = StoreFollower(
            KIND_CONFIGURATION,
            self._store,
            self._configuration,
            self._health,
            duty=self._fleet.gossip.configuration_duty,
            neighbours=self._fleet.gossip.holder_view,
        )
        targets = StoreFollower(
            KIND_TARGETS,
            self._store,
            self._directory,
            self._health,
            duty=self._fleet.gossip.targets_duty,
            neighbours=self._fleet.gossip.holder_view,
        )
        self._tasks.start(configuration.async_run())
        self._tasks.start(targets.async_run())
        if settings.bounds.evacuation_limit is not None:
            evacuations = StoreFollower(
                KIND_EVACUATIONS,
                self._store,
                self._evacuations,
                self._health,
                duty=self._fleet.gossip.evacuations_duty,
                neighbours=self._fleet.gossip.holder_view,
            )
            self._tasks.start(evacuations.async_run())
        self._tasks.start(self._lease.async_run())
        self._tasks.start(self._leader.async_run())
        self._tasks.start(self._fleet.async_run(self._collect_load_report))
        self._tasks.start(self._permits.async_run())
        self._tasks.start(self._link_probes.async_run())
        self._tasks.start(self._async_housekeeping())
        if self._capacity.is_enabled:
            self._tasks.start(self._capacity.async_run())

    async def async_stop(self) -> None:
        """Finish requests in flight and release the lease within the grace period."""
        await self._planned_stop.async_run(self._settings.bounds.shutdown_grace)

    async def async_unload(self) -> None:
        """Stop all tasks and close all listeners, links and clients."""
        await self._tasks.async_unload()
        self._notices.unload()
        await self._listeners.async_unload()
        await self._fleet.links.async_unload()
        self._handler.unload()
        self._relay_handler.unload()
        self._clients.unload()

    @callback
    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply new bounds; changed addresses need a restart."""
        log_message(
            message_type="settings_reloaded", changed=settings != self._settings
        )
        self._settings = settings
        self._assigner_factory.settings = settings
        self._directory.set_drain_limit(settings.bounds.drain_limit)
        self._evacuations.set_limit(settings.bounds.evacuation_limit)
        self._configuration.lag.set_apply_limit(settings.bounds.apply_limit)
        self._sender.retries.set_bounds(settings.bounds)

    @callback
    def log_rejected_settings(self, err: ConfigurationError) -> None:
        """Log settings that were rejected; the current ones stay in effect."""
        log_message(message_type="settings_refused", level="error", error=str(err))

    @callback
    def _is_holder_alive(self, term: int) -> bool:
        """Return whether heartbeats show another holder in this or a later term."""
        now = asyncio.get_running_loop().time()
        return self._fleet.known_leader.is_holder_alive(term, now)

    @callback
    def _has_live_links(self) -> bool:
        """Return whether any peer link is live and could announce a new holder."""
        return bool(self._fleet.links.live_links())

    @callback
    def _has_lost_target_links(self) -> bool:
        """Return whether this instance does not reach targets that others may reach."""
        now = suspend_aware_now()
        return self._target_links.has_failures and any(
            self._target_links.may_be_own_fault(target, now)
            for target in self._target_links.lost_targets(
                self._directory.targets_by_id.keys(), now
            )
        )

    @callback
    def _collect_load_report(self) -> LoadReport:
        """Return the load recorded since the last call and update the retry metric."""
        self._update_retry_members(
            self._sender.retries.members(suspend_aware_now()) or 0
        )
        return self._sender.pop_load_report()

    @callback
    def _update_retry_members(self, members: int) -> None:
        """Report the number of instances that share the retry budgets."""
        if members != self._metrics.retry_members:
            log_message(message_type="retry_members_changed", members=members)
        self._metrics.retry_members = members

    @callback
    def _handle_backoff(self, target_id: str, seconds: float) -> None:
        """Withdraw permit requests for a target that asked not to be called."""
        target = self._directory.targets_by_id.get(target_id)
        if target is None:
            return
        self._sender.record_backoff(target.service, target_id, seconds)
        self._permits.handle_owner_change(target.service)

    @callback
    def _request_relays(self) -> None:
        """Learn which instances can pass requests on."""
        now = asyncio.get_running_loop().time()
        self._fleet.relay_directory.request_relays(now)

    @callback
    def _update_target_links(self, now: float) -> None:
        """Drop the links to targets that are gone and update their metric."""
        targets = self._directory.targets_by_id.keys()
        self._target_links.retain_targets(targets)
        self._silence_watch.retain_targets(set(targets))
        self._metrics.passed_on = self._relay_handler.relayed
        lost = self._target_links.lost_targets(targets, now)
        self._metrics.lost_target_links = len(lost)

    @callback
    def _update_poison_metrics(self, now: float) -> None:
        """Update the metrics of requests that crash targets."""
        self._metrics.suspected_requests = self._suspects.count()
        self._metrics.quarantined_requests = len(
            self._suspects.quarantined_fingerprints(now)
        )

    @callback
    def _handle_unanswered(self, send: UnansweredSend) -> None:
        """Report a send that nobody got an answer to."""
        self._fleet.poison_reports.report_unanswered(send, suspend_aware_now())

    @callback
    def _handle_answered(self, fingerprint: int, target: str) -> None:
        """Report that a target has run a request that may have ended others."""
        now = suspend_aware_now()
        self._fleet.poison_reports.report_answered(fingerprint, target, now)

    @callback
    def _handle_life_sign(self, sign: LifeSign) -> None:
        """Clear what a target has outlived."""
        self._fleet.poison_reports.report_life_sign(sign, suspend_aware_now())

    @callback
    def _handle_refused_resend(self, fingerprint: int) -> None:
        """Report that a quarantined request is still resent."""
        self._fleet.poison_reports.report_resend(fingerprint, suspend_aware_now())

    @callback
    def _handle_key_map_change(self, service: str) -> None:
        """Withdraw requests for former owners; report those that are at one."""
        self._permits.handle_owner_change(service)
        self._open_sends.review_owners()

    @callback
    def _handle_configuration_change(self) -> None:
        """Apply a new configuration to the components that depend on it."""
        self._handler.handle_configuration_change()
        configuration = self._configuration.current
        if configuration is not None:
            self._listeners.set_caller_limits(configuration.limits)
            self._leader.update_candidacy()
            if self._settings.expects_overload or self._settings.plans_by_wait:
                self._permits.hot_keys.set_services(
                    find_uneven_services(
                        configuration, expects_overload=self._settings.expects_overload
                    )
                )
        self._update_permit_targets()

    @callback
    def _update_permit_targets(self) -> None:
        """Pass the current targets of every service to the permit broker."""
        now = suspend_aware_now()
        configuration = self._configuration.current
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            serving = self._directory.serving_targets(service.name, now)
            retiring = self._directory.retiring_targets(service.name, now)
            self._permits.set_targets(
                service.name,
                serving,
                retiring,
                self._build_cold_targets(service, [*serving, *retiring], now),
            )

    @callback
    def _build_cold_targets(
        self, service: ServiceSpec, targets: list[Target], now: float
    ) -> ColdTargets:
        """Return the cold targets of a service and the limits that apply to them."""
        remaining_by_id = {
            target.id: self._directory.cold_time_left(target, service.cold_start, now)
            for target in targets
        }
        return ColdTargets(
            remaining_by_id={
                target_id: remaining
                for target_id, remaining in remaining_by_id.items()
                if remaining
            },
            rate=service.cold_rate,
            max_per_second=self._settings.bounds.cold_limit(service.cold_rate),
        )

    async def _async_housekeeping(self) -> None:
        """Remove expired entries and close idle connections periodically."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            self._directory.expire_targets(suspend_aware_now())
            self._notices.update(self._metrics, suspend_aware_now())
            self._update_poison_metrics(suspend_aware_now())
            self._metrics.hot_keys = self._permits.hot_keys.count_hot_keys(loop.time())
            self._update_target_links(suspend_aware_now())
            self._evacuations.end_unconfirmed(suspend_aware_now())
            # No change event marks the end of a target's drain time.
            self._update_permit_targets()
            self._clients.close_idle(loop.time())
            self._listeners.log_closed()
            self._metrics.closed_by_reason = self._listeners.count_closed()
