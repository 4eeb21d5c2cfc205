"""Store, instances and a runner of the command that the tests share."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from io import StringIO
from pathlib import Path

import pytest

from swiftpin.cli import context as context_module
from swiftpin.cli.__main__ import async_main
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.parser import build_parser
from swiftpin.config.repository import ConfigRepository
from swiftpin.core import monotonic_now
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin
from tests.cli.fake_instance import FakeInstance
from tests.config.faulty_store_client import FaultyStoreClient

PROFILE = """\
apiVersion: swiftpin/v1
kind: Profile
metadata: {name: bookings}
spec: {queue_length: 5}
"""

SERVICE = """\
apiVersion: swiftpin/v1
kind: Service
metadata: {name: desk}
spec:
  profile: bookings
  keyed: true
  slices: 8
  groups: 1
  targets:
  - {id: desk-1, address: "127.0.0.1:18101", zone: a}
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Exit status and output of one command."""

    status: ExitStatus
    out: str
    err: str


RunCommand = Callable[..., Awaitable[Run]]


@pytest.fixture
async def store() -> AsyncIterator[StoreStandin]:
    """Return a running store."""
    standin = StoreStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def instances() -> AsyncIterator[InstancesStandin]:
    """Return a running instance list without instances."""
    standin = InstancesStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def instance(instances: InstancesStandin) -> AsyncIterator[FakeInstance]:
    """Return a listed instance."""
    fake = FakeInstance(name="brno-a-1")
    await fake.async_start()
    instances.change(fake.listed(), monotonic_now())
    yield fake
    await fake.async_stop()


@pytest.fixture
def clients(
    monkeypatch: pytest.MonkeyPatch,
) -> list[Callable[[FaultyStoreClient], None]]:
    """Return a list of preparations of the store client of each later run."""
    preparations: list[Callable[[FaultyStoreClient], None]] = []

    def make_client(*args: object, **kwargs: object) -> FaultyStoreClient:
        client = FaultyStoreClient(*args, **kwargs)  # type: ignore[arg-type]
        client.reset_faults()
        if preparations:
            preparations.pop(0)(client)
        return client

    monkeypatch.setattr(context_module, "StoreClient", make_client)
    monkeypatch.setattr(
        context_module,
        "ConfigRepository",
        partial(ConfigRepository, settle_delays=(0.0, 0.0)),
    )
    return preparations


@pytest.fixture
def run(store: StoreStandin, instances: InstancesStandin) -> RunCommand:
    """Return a runner of commands against store and instance list."""

    async def async_run(*arguments: str | Path, author: str = "jana@ops") -> Run:
        environment = {
            "SWIFTPIN_STORE_URL": store.url,
            "SWIFTPIN_INSTANCES_URL": instances.url,
            "SWIFTPIN_AUTHOR": author,
        }
        parser = build_parser(environment)
        args = parser.parse_args([str(argument) for argument in arguments])
        out, err = StringIO(), StringIO()
        status = await async_main(args, out=out, err=err)
        return Run(status=status, out=out.getvalue(), err=err.getvalue())

    return async_run


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """Return a directory with one profile and one service that names it."""
    (tmp_path / "profile.yaml").write_text(PROFILE, encoding="utf-8")
    (tmp_path / "service.yaml").write_text(SERVICE, encoding="utf-8")
    return tmp_path
