"""The declarations in force at one instance."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from traceback import format_exc
from types import MappingProxyType
from typing import Final, assert_never

from eliot import log_message

from swiftpin.config.classify import request_class_of
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.convert import (
    planned_stop_from_model,
    profile_from_model,
    service_from_model,
)
from swiftpin.config.envelope import decode_config_object
from swiftpin.config.models.declaration_models import (
    Declaration,
    PlannedStopModel,
    ProfileModel,
    ServiceModel,
)
from swiftpin.config.parse import parse_document
from swiftpin.config.planned_stop import PlannedStop
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.config.service import Service
from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError

DEFAULT_PROFILE: Final = Profile(name="default")

CatalogListener = Callable[[ConfigName], None]


class Catalog:
    """View of all declarations, fed one accepted change at a time.

    Only generations that grow are adopted, so changes may come late, twice and out
    of order. Used within one event loop.
    """

    def __init__(self) -> None:
        self._services_by_name: dict[str, Service] = {}
        self._profiles_by_name: dict[str, Profile] = {}
        self._retired_profiles_by_name: dict[str, Profile] = {}
        self._planned_stops_by_name: dict[str, PlannedStop] = {}
        self._generations_by_name: dict[str, int] = {}
        self._listeners: list[CatalogListener] = []

    @property
    def services_by_name(self) -> Mapping[str, Service]:
        """Return the services in force."""
        return MappingProxyType(self._services_by_name)

    @property
    def profiles_by_name(self) -> Mapping[str, Profile]:
        """Return the declared profiles in force."""
        return MappingProxyType(self._profiles_by_name)

    @property
    def planned_stops_by_name(self) -> Mapping[str, PlannedStop]:
        """Return the planned stops in force."""
        return MappingProxyType(self._planned_stops_by_name)

    @property
    def generations_by_name(self) -> Mapping[str, int]:
        """Return the adopted generation of each `kind/name`, retired ones too."""
        return MappingProxyType(self._generations_by_name)

    @callback
    def service(self, name: str) -> Service | None:
        """Return the service in force, None when there is none."""
        return self._services_by_name.get(name)

    @callback
    def profile_of(self, service: Service) -> Profile:
        """Return the service's profile, the built-in one when it is absent.

        A service may have been applied while its profile was being retired; the
        built-in profile might then run its requests under weaker rules, which one
        would notice as bookings without idempotency keys. So a retired profile
        stays in force for the services that still name it.
        """
        declared = self._profiles_by_name.get(service.profile)
        if declared is not None:
            return declared
        return self._retired_profiles_by_name.get(service.profile, DEFAULT_PROFILE)

    @callback
    def request_class(self, profile: Profile, method: str, path: str) -> RequestClass:
        """Return the class of a request; `path` is the part after the service."""
        return request_class_of(profile, method, path)

    @callback
    def adopt(self, config_object: ConfigObject) -> bool:
        """Put a change in force; return whether it was newer and sound."""
        label = config_object.id.label
        if config_object.generation <= self._generations_by_name.get(label, 0):
            return False
        model = self._parse(config_object)
        if model is None and not config_object.retired:
            return False
        self._remove(config_object.id)
        if model is not None:
            self._add(model, retired=config_object.retired)
        self._generations_by_name[label] = config_object.generation
        log_message(
            message_type="config_adopted",
            config=label,
            generation=config_object.generation,
            retired=config_object.retired,
        )
        self._notify(config_object.id)
        return True

    @callback
    def adopt_stored(self, store_name: str, body: bytes) -> bool:
        """Put a stored object in force; objects that are no declaration are passed."""
        config_name = ConfigName.from_store_name(store_name)
        if config_name is None:
            return False
        try:
            config_object = decode_config_object(config_name, body)
        except ConfigurationError as err:
            self._log_refusal(config_name.label, None, err)
            return False
        return self.adopt(config_object)

    @callback
    def subscribe(self, listener: CatalogListener) -> Callable[[], None]:
        """Call the listener after each adopted change; return the unsubscriber."""
        self._listeners.append(listener)

        def unsubscribe() -> None:
            """Stop the calls; a second time has no effect."""
            if listener in self._listeners:
                self._listeners.remove(listener)

        return unsubscribe

    def _parse(self, config_object: ConfigObject) -> Declaration | None:
        """Return the validated document; log and return None when it is broken."""
        try:
            return parse_document(config_object.id, config_object.document)
        except ConfigurationError as err:
            self._log_refusal(config_object.id.label, config_object.generation, err)
            return None

    def _remove(self, config_name: ConfigName) -> None:
        """Take one declaration out of the view."""
        name = config_name.name
        match config_name.kind:
            case ConfigKind.SERVICE:
                self._services_by_name.pop(name, None)
            case ConfigKind.PROFILE:
                self._profiles_by_name.pop(name, None)
                self._retired_profiles_by_name.pop(name, None)
            case ConfigKind.PLANNED_STOP:
                self._planned_stops_by_name.pop(name, None)
            case _:
                assert_never(config_name.kind)

    def _add(self, model: Declaration, *, retired: bool) -> None:
        """Take one declaration into the view; of retired ones only profiles."""
        name = model.metadata.name
        match model:
            case ProfileModel() if retired:
                self._retired_profiles_by_name[name] = profile_from_model(model)
            case ProfileModel():
                self._profiles_by_name[name] = profile_from_model(model)
            case ServiceModel() if not retired:
                self._services_by_name[name] = service_from_model(model)
            case PlannedStopModel() if not retired:
                self._planned_stops_by_name[name] = planned_stop_from_model(model)

    def _notify(self, config_name: ConfigName) -> None:
        """Call each listener; one that fails must not keep the others unaware."""
        for listener in tuple(self._listeners):
            try:
                listener(config_name)
            except Exception:  # noqa: BLE001 - any fault of a listener is its own
                log_message(
                    message_type="config_listener_failed",
                    config=config_name.label,
                    traceback=format_exc(),
                )

    @staticmethod
    def _log_refusal(label: str, generation: int | None, err: Exception) -> None:
        """Log a document that stays out of force."""
        log_message(
            message_type="config_refused",
            config=label,
            generation=generation,
            error=str(err),
        )
