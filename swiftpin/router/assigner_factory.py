"""Factory for the key assigners of services."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import RequestNotSentError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import RELEASE_TIMEOUT
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.keyranges.uneven_planner import UnevenPlanner
from swiftpin.model.configuration import Configuration
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.notices.answer_listener import AnswerListener
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.request_head import AnswerHead
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_map_sharing import KeyMapSharing
from swiftpin.router.uneven_services import find_objective, find_uneven_services

REQUEST_END_MARGIN: Final = 0.5
"""Seconds after a request's deadline until its target is guaranteed to have stopped
processing it. Covers network latency, a slow clock, and a configuration change that has
just shortened the timeouts."""


class AssignerFactory:
    """Creates assigners with the components of the instance that they need."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        client: StoreClient,
        control_http: HttpClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        lease: LeaseElection,
        health: StoreHealth,
        permits: PermitBroker,
        key_maps: KeyMapSharing,
        may_plan: Callable[[], bool],
        listener: AnswerListener,
    ) -> None:
        self.settings = settings
        self._client = client
        self._control_http = control_http
        self._configuration = configuration
        self._directory = directory
        self._lease = lease
        self._health = health
        self._permits = permits
        self._key_maps = key_maps
        self._may_plan = may_plan
        self._listener = listener

    @callback
    def make(
        self, service: str, configuration: Configuration, fences: Fences
    ) -> RangeAssigner:
        """Return an assigner for a service's keys in the current term."""
        gate = partial(self._check_lease, self._lease.term)
        return RangeAssigner(
            service=service,
            client=self._client,
            control=TargetControl(self._control_http, gate, self._handle_answer),
            directory=self._directory,
            lease=self._lease,
            fences=fences,
            health=self._health,
            max_hold=self.settings.bounds.max_hold,
            health_path=configuration.services_by_name[service].health_path,
            on_map=self._key_maps.publish,
            count_members=lambda: self._permits.issuers.members,
            max_request_time=self._max_request_time,
            get_service_spec=partial(
                self._current_spec, configuration.services_by_name[service]
            ),
            get_rate_limit=self._permits.rate_reports.limit_of,
            may_plan=self._may_plan,
            uneven_planner=self._make_uneven_planner(service, configuration),
            known_factors=self._key_maps.known_factors(service),
            key_map=self._key_maps.known_map(service),
        )

    @callback
    def _make_uneven_planner(
        self, service: str, configuration: Configuration
    ) -> UnevenPlanner | None:
        """Return the planner of a service with uneven demand, None for others."""
        # The usual planner moves keys off slow targets sooner, but more often.
        services = find_uneven_services(configuration, expects_overload=False)
        if service not in services or not self.settings.plans_by_wait:
            return None
        return UnevenPlanner(partial(self._current_objective, service, configuration))

    @callback
    def _current_objective(self, service: str, fallback: Configuration) -> float:
        """Return the shortest objective of the routes to a service."""
        return find_objective(self._configuration.current or fallback, service)

    @callback
    def _handle_answer(self, name: str, head: AnswerHead) -> None:
        """Record what a target states in an answer to a grant, release or check."""
        target = self._directory.current_life(name)
        if target is not None:
            now = suspend_aware_now()
            asked_at = now - RELEASE_TIMEOUT
            self._listener.handle_answer(target, head, asked_at=asked_at, now=now)

    @callback
    def _current_spec(self, fallback: ServiceSpec) -> ServiceSpec:
        """Return the current specification of a service, or `fallback` if removed."""
        configuration = self._configuration.current
        if configuration is None:
            return fallback
        return configuration.services_by_name.get(fallback.name, fallback)

    @callback
    def _check_lease(self, term: int, now: float) -> None:
        """Raise an error if the calling assigner's term has ended.

        After a suspension the instance may hold the lease again in a later term before
        the assigner of the earlier term is stopped. The state of that assigner may be
        outdated, so it must not call targets.
        """
        if self._lease.term != term or not self._lease.is_held(suspend_aware_now()):
            raise RequestNotSentError("the lease has ended")

    @callback
    def _max_request_time(self) -> float:
        """Return the maximum seconds that a request already sent can still run."""
        configuration = self._configuration.current
        max_timeout = 0.0 if configuration is None else configuration.max_route_timeout
        return max_timeout + REQUEST_END_MARGIN
