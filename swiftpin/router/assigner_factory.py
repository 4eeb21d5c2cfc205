"""Making of the assigner of a service's keys."""

from __future__ import annotations

from functools import partial
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import RequestNotSentError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.model.configuration import Configuration
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_map_sharing import KeyMapSharing

REQUEST_END_MARGIN: Final = 0.5
"""Seconds beyond a request's deadline until its target has surely stopped: the way to
it, and a clock that runs slow. A change of the configuration may have shortened
timeouts moments ago."""


class AssignerFactory:
    """Gives each assigner what it needs of the instance."""

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

    @callback
    def make(
        self, service: str, configuration: Configuration, fences: Fences
    ) -> RangeAssigner:
        """Return an assigner for a service's keys in the present term."""
        gate = partial(self._check_lease, self._lease.term)
        return RangeAssigner(
            service=service,
            client=self._client,
            control=TargetControl(self._control_http, gate),
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
        )

    @callback
    def _current_spec(self, known: ServiceSpec) -> ServiceSpec:
        """Return the present declaration of a service, the one known if it has none."""
        configuration = self._configuration.current
        if configuration is None:
            return known
        return configuration.services_by_name.get(known.name, known)

    @callback
    def _check_lease(self, term: int, now: float) -> None:
        """Hold back a call to a target by an assigner whose term is over.

        After a suspension the lease may be held again, in a later term, before the
        assigner of the earlier one is stopped; what that knows may be long out of date.
        """
        if self._lease.term != term or not self._lease.is_held(suspend_aware_now()):
            raise RequestNotSentError("the lease has ended")

    @callback
    def _max_request_time(self) -> float:
        """Return after how many seconds no request sent before is at work any more."""
        configuration = self._configuration.current
        longest = 0.0 if configuration is None else configuration.max_route_timeout
        return longest + REQUEST_END_MARGIN
