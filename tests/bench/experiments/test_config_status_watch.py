"""Tests of the watch on instances' statuses."""

from __future__ import annotations

from aiohttp import ClientSession
import pytest

from swiftpin.bench.experiments.config_status_watch import StatusWatch
from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instance_status import InstanceStatus
from swiftpin.cli.instances_client import InstancesClient
from swiftpin.membership.instance_info import InstanceInfo


def report(name: str, generation: int) -> InstanceReport:
    """Return an instance's answer with the generation of one profile."""
    info = InstanceInfo(
        name=name, zone="az-a", peer="p", forward="f", admin="a", leaving=False
    )
    status = InstanceStatus(
        instance=f"{name}/1",
        zone="az-a",
        ready=True,
        leaving=False,
        generations_by_name={"profile/desk": generation},
        groups_held=(),
    )
    return InstanceReport(info=info, status=status)


@pytest.fixture
async def watch() -> StatusWatch:
    """Return a watch that is fed by hand."""
    async with ClientSession() as session:
        return StatusWatch(InstancesClient(session, "http://127.0.0.1:1"))


async def test_older_generation_after_newer_is_counted(watch: StatusWatch) -> None:
    """Each instance is compared with itself only."""
    for name, generation in (("gw-1", 2), ("gw-2", 1), ("gw-1", 1), ("gw-2", 2)):
        watch.note(report(name, generation))
    assert watch.answers == 4
    assert watch.older_after_newer == 1
