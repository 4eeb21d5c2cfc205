"""A running cluster on loopback."""

from __future__ import annotations

from pathlib import Path
from types import TracebackType
from typing import Final, Self

from aiohttp import ClientSession

from swiftpin.bench.cluster.cluster_commands import (
    NAME_INSTANCES,
    NAME_STORE,
    gateway_process,
    instances_process,
    store_process,
    target_process,
    trace_path,
)
from swiftpin.bench.cluster.cluster_declarations import cluster_declarations
from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.declaration_writer import DeclarationWriter
from swiftpin.bench.cluster.platform_control import PlatformControl
from swiftpin.bench.cluster.serving_check import async_wait_serving
from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.supervisor import Supervisor

READY_TIMEOUT: Final = 60.0
SERVING_TIMEOUT: Final = 60.0


class Cluster:
    """Starts the platform's stand-ins, targets and gateways of a specification.

    Use it as a context manager: every process ends with the block. Traces and logs
    are in `directory`.
    """

    def __init__(self, spec: ClusterSpec, directory: Path) -> None:
        self.spec = spec
        directory.mkdir(parents=True, exist_ok=True)
        self.directory = directory
        self.layout = ClusterLayout.allocate(spec, PortAllocator())
        self.supervisor = Supervisor(directory)
        self._session: ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = ClientSession()
        await self.supervisor.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            await self.supervisor.__aexit__(exc_type, exc, traceback)
        finally:
            await self.session.close()

    @property
    def session(self) -> ClientSession:
        """Return the session for calls to the cluster's processes."""
        if self._session is None:
            raise RuntimeError("the cluster is used outside its block")
        return self._session

    @property
    def platform(self) -> PlatformControl:
        """Return the control of the stand-ins."""
        return PlatformControl(self.session, self.layout)

    @property
    def declarations(self) -> DeclarationWriter:
        """Return the writer of declarations."""
        return DeclarationWriter(self.session, self.layout.store_url)

    @property
    def gateways(self) -> list[ManagedProcess]:
        """Return the gateways' processes."""
        return [self.supervisor.process(name) for name in self.layout.gateways_by_name]

    async def async_start(self) -> None:
        """Start everything, apply the declarations and wait until all is served."""
        await self.async_start_platform()
        await self.async_start_targets(list(self.layout.targets_by_id))
        await self.async_declare()
        await self.async_start_gateways(list(self.layout.gateways_by_name))
        await self.async_wait_serving()

    async def async_start_platform(self) -> None:
        """Start the store and the instance list."""
        self.supervisor.start(store_process(self.spec, self.layout))
        self.supervisor.start(instances_process(self.spec, self.layout))
        names = [NAME_STORE, NAME_INSTANCES]
        await self.supervisor.async_wait_ready(names, READY_TIMEOUT)

    async def async_start_targets(self, ids: list[str]) -> None:
        """Start targets, also again after they ended."""
        for target_id in ids:
            place = self.layout.targets_by_id[target_id]
            self.supervisor.start(target_process(self.spec, place, self.directory))
        await self.supervisor.async_wait_ready(ids, READY_TIMEOUT)

    async def async_start_gateways(self, names: list[str]) -> None:
        """Start gateways, also again after they ended."""
        for name in names:
            place = self.layout.gateways_by_name[name]
            self.supervisor.start(
                gateway_process(self.spec, self.layout, place, self.directory)
            )
        await self.supervisor.async_wait_ready(names, READY_TIMEOUT)

    async def async_declare(self) -> None:
        """Apply the declarations of the specification."""
        declarations = cluster_declarations(self.spec.services, self.layout)
        await self.declarations.async_apply(declarations)

    async def async_wait_serving(self, timeout: float = SERVING_TIMEOUT) -> None:
        """Wait until every gateway gets answers for every part of every service."""
        for service in self.spec.services:
            await async_wait_serving(
                self.session, self.layout.entries, service, timeout
            )

    def trace_paths(self) -> list[Path]:
        """Return the traces of targets, gateways and the supervisor."""
        names = [*self.layout.targets_by_id, *self.layout.gateways_by_name]
        paths = [trace_path(self.directory, name) for name in names]
        existing = [path for path in paths if path.exists()]
        return [*existing, self.supervisor.trace_path]
