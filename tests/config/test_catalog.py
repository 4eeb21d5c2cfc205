"""Tests of the view of declarations in force."""

from __future__ import annotations

import pytest

from swiftpin.config.catalog import DEFAULT_PROFILE, Catalog
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.envelope import encode_config_object
from tests.config.conftest import MakeChange


@pytest.fixture
def catalog() -> Catalog:
    """Return an empty catalog."""
    return Catalog()


def test_adopts_a_newer_generation(catalog: Catalog, make_change: MakeChange) -> None:
    """A newer change replaces the older one."""
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    assert catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 2, profile="other"))
    service = catalog.service("desk")
    assert service is not None
    assert service.profile == "other"
    assert catalog.generations_by_name == {"service/desk": 2}


def test_never_reverts(catalog: Catalog, make_change: MakeChange) -> None:
    """Symptom: an accepted configuration reverts on one instance.

    Sequence: generation 2 arrives from a peer; then a slow store read that began
    before the change returns generation 1.
    Cause: adopting whatever comes last.
    """
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 2, profile="new"))
    assert not catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1, profile="old"))
    service = catalog.service("desk")
    assert service is not None
    assert service.profile == "new"


def test_retired_service_does_not_come_back(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """Symptom: a retired service takes requests again.

    Sequence: generation 2 retires it; a late message brings generation 1.
    Cause: forgetting the generation together with the service.
    """
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 2, retired=True))
    assert not catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    assert catalog.service("desk") is None


def test_broken_document_harms_nothing(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """Symptom: a service vanishes after a write by hand.

    Sequence: generation 2 carries an unknown field; generation 1 is in force.
    Cause: dropping the old generation before the new one was found sound.
    """
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    assert not catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 2, colour="red"))
    assert catalog.service("desk") is not None
    assert catalog.generations_by_name == {"service/desk": 1}
    assert catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 3))


def test_retirement_of_a_broken_document_counts(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """A declaration goes out of force even if its last document is broken."""
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    assert catalog.adopt(
        make_change(ConfigKind.SERVICE, "desk", 2, retired=True, colour="red")
    )
    assert catalog.service("desk") is None


def test_document_of_another_name_is_refused(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """A document cannot come into force under a name that it does not carry."""
    change = make_change(ConfigKind.SERVICE, "desk", 1)
    vault = ConfigName(kind=ConfigKind.SERVICE, name="vault")
    body = encode_config_object(change)
    assert not catalog.adopt_stored(vault.store_name, body)
    assert catalog.adopt_stored(change.id.store_name, body)


@pytest.mark.parametrize("store_name", ["config/service/desk", "config/history/x/y/1"])
def test_unreadable_object_is_refused(catalog: Catalog, store_name: str) -> None:
    """Bytes that are no envelope raise nothing."""
    assert not catalog.adopt_stored(store_name, b"\xff")


def test_default_profile_when_none_is_declared(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """A service whose profile has not arrived yet runs under the built-in one."""
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    service = catalog.services_by_name["desk"]
    assert catalog.profile_of(service) == DEFAULT_PROFILE


def test_retired_profile_serves_on_for_its_services(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """Symptom: a service's bookings run without idempotency keys.

    Sequence: one operator retires a profile while another applies a service that
    names it; both succeed, as they are separate objects of the store.
    Cause: falling back to the built-in profile.
    """
    catalog.adopt(make_change(ConfigKind.SERVICE, "desk", 1))
    catalog.adopt(make_change(ConfigKind.PROFILE, "bookings", 1, queue_length=7))
    catalog.adopt(
        make_change(ConfigKind.PROFILE, "bookings", 2, retired=True, queue_length=7)
    )
    service = catalog.services_by_name["desk"]
    assert catalog.profiles_by_name == {}
    assert catalog.profile_of(service).queue_length == 7


def test_listeners_hear_of_adopted_changes_only(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """A refused change is no news, and an unsubscribed listener hears nothing."""
    heard: list[str] = []
    unsubscribe = catalog.subscribe(lambda name: heard.append(name.label))
    catalog.adopt(make_change(ConfigKind.PLANNED_STOP, "monday", 1))
    catalog.adopt(make_change(ConfigKind.PLANNED_STOP, "monday", 1))
    unsubscribe()
    unsubscribe()
    catalog.adopt(make_change(ConfigKind.PLANNED_STOP, "monday", 2, retired=True))
    assert heard == ["plannedstop/monday"]
    assert catalog.planned_stops_by_name == {}


def test_failing_listener_leaves_others_informed(
    catalog: Catalog, make_change: MakeChange
) -> None:
    """Symptom: one part of an instance works by an old configuration.

    Sequence: the first listener raises; the second is never called.
    Cause: letting one listener's fault end the round.
    """
    heard: list[str] = []

    def fail(_: ConfigName) -> None:
        raise ValueError

    catalog.subscribe(fail)
    catalog.subscribe(lambda name: heard.append(name.label))
    assert catalog.adopt(make_change(ConfigKind.PROFILE, "bookings", 1))
    assert heard == ["profile/bookings"]
