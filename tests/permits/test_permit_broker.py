"""Tests of asking for permits."""

from __future__ import annotations

import asyncio

import pytest

from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_query import PermitQuery
from tests.permits.asker import make_target

SERVICE = "desk"


class Owner:
    """Who owns the key that is asked for."""

    def __init__(self) -> None:
        self.name = "a"

    def is_a(self) -> bool:
        """Return whether target a owns it."""
        return self.name == "a"


@pytest.fixture(name="owner")
def owner_fixture() -> Owner:
    """Return the owner of the key."""
    return Owner()


@pytest.fixture(name="broker")
async def broker_fixture() -> PermitBroker:
    """Return the permits of an instance that hands out those of target a itself."""
    broker = PermitBroker("i1/1", "z1")
    broker.set_targets(SERVICE, [make_target("a")], [])
    return broker


def make_query(owner: Owner) -> PermitQuery:
    """Return the need of a request for a's slot."""
    now = asyncio.get_running_loop().time()
    return PermitQuery(
        service=SERVICE,
        target="a",
        avoided="",
        priority=1,
        objective_at=now + 5.0,
        ends_at=now + 10.0,
        is_current=owner.is_a,
    )


async def async_permit(broker: PermitBroker, owner: Owner) -> Permit:
    """Return a permit that is there to be had."""
    asked = await broker.async_request_permit(make_query(owner))
    assert asked is not None
    assert asked[1] is not None
    return asked[1]


async def test_request_does_not_wait_at_its_keys_former_owner(
    broker: PermitBroker, owner: Owner
) -> None:
    """Symptom: requests for a key that had just moved were refused by its former owner.

    Sequence: most requests for a hot key waited for a slot there; the key moved; each
    got a slot in turn, was sent and refused. Cause: whoever waited learnt of the move
    only by the refusal, which counts as a send.
    """
    permit = await async_permit(broker, owner)
    waiting = asyncio.ensure_future(broker.async_request_permit(make_query(owner)))
    await asyncio.sleep(0)
    owner.name = "b"
    broker.handle_owner_change("other service")
    await asyncio.sleep(0)
    assert not waiting.done()
    broker.handle_owner_change(SERVICE)
    assert await waiting is None
    owner.name = "a"
    broker.release(permit, 0.01, failed=False)
    assert await async_permit(broker, owner)


async def test_request_whose_key_stays_goes_on_waiting(
    broker: PermitBroker, owner: Owner
) -> None:
    """Other keys of the service move all the time while hot keys are shared out."""
    permit = await async_permit(broker, owner)
    waiting = asyncio.ensure_future(broker.async_request_permit(make_query(owner)))
    await asyncio.sleep(0)
    broker.handle_owner_change(SERVICE)
    await asyncio.sleep(0)
    assert not waiting.done()
    broker.release(permit, 0.01, failed=False)
    asked = await waiting
    assert asked is not None
    assert asked[1] is not None
