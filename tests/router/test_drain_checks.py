"""Tests of the checks of targets that announced once that they are leaving."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.platform.request_head import AnswerHead
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.drain_checks import DrainChecks
from swiftpin.router.target_client import TargetClient
from tests.notices.conftest import ANSWER, DRAIN_LIMIT, TARGET


class HealthClient:
    """Client of a target that answers health checks."""

    def __init__(self, drains: AnnouncedDrains) -> None:
        self.checked: list[str] = []
        self._drains = drains

    async def async_check_health(
        self, target: Target, service: ServiceSpec
    ) -> AnswerHead:
        """Count a check, whose answer announces that the target is leaving."""
        self.checked.append(target.id)
        self._drains.record_announcement(target.id, suspend_aware_now())
        return ANSWER


@pytest.mark.parametrize("backoff", [0.0, 0.3], ids=["none", "running"])
async def test_target_is_not_checked_while_it_asked_not_to_be_called(
    monkeypatch: pytest.MonkeyPatch, backoff: float
) -> None:
    """Guards against health checks in a pause that the target asked for."""
    monkeypatch.setattr("swiftpin.router.drain_checks.RECHECK_INTERVAL", 0.1)
    drains = AnnouncedDrains(DRAIN_LIMIT)
    backoffs = TargetBackoffs()
    client = HealthClient(drains)
    services = {TARGET.service: object()}
    checks = DrainChecks(
        client=cast(TargetClient, client),
        configuration=cast(
            ConfigurationHolder,
            SimpleNamespace(current=SimpleNamespace(services_by_name=services)),
        ),
        directory=cast(
            TargetDirectory, SimpleNamespace(targets_by_id={TARGET.id: TARGET})
        ),
        drains=drains,
        backoffs=backoffs,
    )
    now = suspend_aware_now()
    backoffs.record(TARGET.id, backoff, now)
    drains.record_announcement(TARGET.id, now)
    checks.start(TARGET.id)
    await asyncio.sleep(0.15)
    assert bool(client.checked) is not bool(backoff)
    await asyncio.sleep(0.35)
    assert client.checked == [TARGET.id]
    assert not drains.is_unconfirmed(TARGET.id)
    checks.unload()
