"""Tests that late renewals of leases and grants do not extend their validity."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import (
    RequestNotSentError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges import lease_election as lease_module
from swiftpin.keyranges import lease_store as lease_store_module
from swiftpin.keyranges.const import LEASE_TIME
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.model.configuration import Configuration
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.model.store_era import StoreEra
from swiftpin.notices.answer_listener import AnswerListener
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_client import StoreClient
from swiftpin.router.assigner_factory import AssignerFactory
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_map_sharing import KeyMapSharing
from swiftpin.store_errors import ObjectMissingError
from tests.keyranges.targets import KEYED_SERVICE


class LeaseStore:
    """Holds the lease; can lose the answers to one write and the following read."""

    def __init__(self, advance_time: Callable[[float], None]) -> None:
        self.loses_next_answers = False
        self._loses_next_read = False
        self._content: object = None
        self._revision = 0
        self._advance_time = advance_time
        self.era = StoreEra()

    async def async_get(self, kind: str, name: str, **rest: object) -> PlatformObject:
        """Return the lease."""
        if self._loses_next_read:
            self._loses_next_read = False
            raise StoreUnavailableError("turned away")
        if self._content is None:
            raise ObjectMissingError(name)
        return PlatformObject(
            name=name,
            revision=self._revision,
            is_deleted=False,
            document={"specification": self._content},
        )

    async def async_create(
        self, kind: str, name: str, content: object, **rest: object
    ) -> int:
        """Create the lease."""
        return self._write(content)

    async def async_replace(
        self, kind: str, name: str, content: object, revision: int, **rest: float
    ) -> int:
        """Replace the lease; lose the answer if `loses_next_answers` is set."""
        if revision != self._revision:
            raise StoreConflictError(name, self._revision)
        self._write(content)
        if self.loses_next_answers:
            self.loses_next_answers = False
            self._loses_next_read = True
            self._advance_time(rest["limit"])
            raise StoreOutcomeUnknownError("no answer")
        return self._revision

    def _write(self, content: object) -> int:
        self._content = content
        self._revision += 1
        return self._revision


async def test_lease_duration_starts_at_the_first_attempt_of_a_renewal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two instances that assign keys at the same time.

    A renewal is written, but its answer and the following read are lost. When it is
    sent again, it conflicts with its own earlier write. Candidates see the lease change
    at the first write, so its duration must be counted from there.
    """
    now = 100.0

    def advance_time(seconds: float) -> None:
        nonlocal now
        now += seconds

    for module in (lease_module, lease_store_module):
        monkeypatch.setattr(module, "suspend_aware_now", lambda: now)
    store = LeaseStore(advance_time)
    lease = LeaseElection(
        name="a",
        incarnation="a/1",
        peer="127.0.0.1:1",
        client=cast(StoreClient, store),
        health=StoreHealth(),
        rng=Random(1),
        cpu_capacity=2.0,
        first_start=True,
        is_holder_alive=lambda holder: False,
        has_live_links=lambda: False,
    )
    lease.note_eligible()
    await lease._async_poll(now)
    assert lease.is_held(now)
    advance_time(0.4)
    sent_at = now
    store.loses_next_answers = True
    await lease._async_renew()
    advance_time(0.1)
    assert lease.is_held(now)
    await lease._async_renew()
    assert lease.valid_until <= sent_at + LEASE_TIME


async def test_assigner_of_an_earlier_term_sends_nothing_in_a_later_one() -> None:
    """Guards against granting a target keys that another one holds.

    An instance loses the lease and acquires it again before it has stopped the assigner
    of its earlier term. That assigner must not send renewals in the later term.
    """
    store = LeaseStore(lambda seconds: None)
    health = StoreHealth()
    lease = LeaseElection(
        name="a",
        incarnation="a/1",
        peer="127.0.0.1:1",
        client=cast(StoreClient, store),
        health=health,
        rng=Random(1),
        cpu_capacity=2.0,
        first_start=True,
        is_holder_alive=lambda holder: False,
        has_live_links=lambda: False,
    )
    services = {"desk": KEYED_SERVICE}
    configuration = cast(
        Configuration, SimpleNamespace(services_by_name=services, routes_by_host={})
    )
    bounds = SimpleNamespace(max_hold=10.0)
    factory = AssignerFactory(
        settings=cast(
            InstanceSettings, SimpleNamespace(bounds=bounds, expects_overload=False)
        ),
        client=cast(StoreClient, store),
        control_http=HttpClient(),
        configuration=ConfigurationHolder(),
        directory=TargetDirectory(health, 1.0),
        lease=lease,
        health=health,
        permits=PermitBroker("a/1", "z"),
        key_maps=cast(
            KeyMapSharing,
            SimpleNamespace(
                publish=lambda key_map: None,
                known_factors=lambda service: {},
                known_map=lambda service: None,
            ),
        ),
        may_plan=lambda: True,
        listener=cast(AnswerListener, SimpleNamespace()),
    )
    lease.note_eligible()
    await lease._async_poll(suspend_aware_now())
    assigner = factory.make("desk", configuration, Fences())
    gate = assigner._renewer._granter._control._gate
    gate(0.0)
    await lease.async_give_up()
    lease.is_standing_down = False
    await lease._async_poll(suspend_aware_now())
    assert lease.is_held(suspend_aware_now())
    with pytest.raises(RequestNotSentError):
        gate(0.0)
