"""Tests of the duties of the lease holder."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from swiftpin.keyranges.fences import FENCES_PER_TERM, Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.model.configuration import Configuration
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.leader import Leader


async def test_next_term_is_requested_when_fences_run_low() -> None:
    """Guards against fences of the next term that are used in the current one.

    When connections break at every call, each failed grant takes a fence. Once they
    reached the next term's fences, the targets refused the grants of a successor.
    """
    lease = SimpleNamespace(term=3, wants_next_term=False)
    service = SimpleNamespace(name="desk", is_keyed=True)
    configuration = SimpleNamespace(
        current=SimpleNamespace(services_by_name={"desk": service})
    )
    made: list[Fences] = []

    def make_assigner(
        name: str, configuration: Configuration, fences: Fences
    ) -> RangeAssigner:
        fences.begin_term(lease.term)
        made.append(fences)
        return cast(RangeAssigner, SimpleNamespace(async_run=lambda: asyncio.sleep(60)))

    leader = Leader(
        lease=cast(LeaseElection, lease),
        configuration=cast(ConfigurationHolder, configuration),
        make_assigner=make_assigner,
        link_check=cast(Any, None),
    )
    leader._run_assigners()
    assert not lease.wants_next_term
    made[0].allocate(FENCES_PER_TERM - 1)
    leader._run_assigners()
    assert lease.wants_next_term
    lease.term, lease.wants_next_term = 4, False
    leader._run_assigners()
    leader._run_assigners()
    assert len(made) == 2
    assert not lease.wants_next_term
    leader._stop_assigners()


async def test_newly_started_instance_may_lead_at_once() -> None:
    """Guards against keys without an owner for two seconds after a restart of all.

    The earlier grants expired while the first list of targets was unconfirmed, and no
    instance acquired the lease until it was confirmed.
    """
    willing: list[bool] = []
    lease = SimpleNamespace(
        term=0, note_eligible=lambda: willing.append(True), is_held=lambda now: False
    )
    leader = Leader(
        lease=cast(LeaseElection, lease),
        configuration=cast(ConfigurationHolder, SimpleNamespace(current=object())),
        make_assigner=cast(Any, None),
        link_check=cast(Any, None),
    )
    task = asyncio.create_task(leader.async_run())
    await asyncio.sleep(0)
    assert willing
    task.cancel()
