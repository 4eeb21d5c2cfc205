"""Orders of planned stops, given and taken back as operators do."""

from __future__ import annotations

import time
from typing import Final
from uuid import uuid4

from aiohttp import ClientSession

from swiftpin.bench.cluster.declaration_writer import DeclarationWriter
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.models.declaration_models import API_VERSION, PlannedStopModel
from swiftpin.config.models.metadata_model import MetadataModel
from swiftpin.config.models.planned_stop_spec_model import PlannedStopSpecModel
from swiftpin.config.plan import plan_retirement
from swiftpin.config.repository import ConfigRepository
from swiftpin.core import monotonic_now
from swiftpin.store.client import StoreClient

AUTHOR: Final = "bench"
PREFIX: Final = "stop-"


class StopOrders:
    """Declares and retires planned stops."""

    def __init__(self, session: ClientSession, store_url: str) -> None:
        self._repository = ConfigRepository(StoreClient(session, store_url))
        self._writer = DeclarationWriter(session, store_url)

    async def async_stop_instance(self, instance: str) -> float:
        """Order the stop of an instance; return when that was accepted."""
        return await self._async_order(
            instance, PlannedStopSpecModel(instance=instance)
        )

    async def async_stop_target(self, service: str, target: str) -> float:
        """Order the stop of a target; return when that was accepted."""
        return await self._async_order(
            target, PlannedStopSpecModel(service=service, target=target)
        )

    async def async_cancel(self, name: str) -> None:
        """Take back the order about an instance or target."""
        config_name = ConfigName(kind=ConfigKind.PLANNED_STOP, name=PREFIX + name)
        before = await self._repository.async_read(config_name)
        if before is None:
            return
        change = plan_retirement(before).signed(
            author=AUTHOR, writer=uuid4().hex, written_at=time.time()
        )
        await self._repository.async_write(change, before)

    async def _async_order(self, name: str, spec: PlannedStopSpecModel) -> float:
        """Write the order; return when it was accepted, in monotonic seconds."""
        order = PlannedStopModel(
            apiVersion=API_VERSION,
            kind="PlannedStop",
            metadata=MetadataModel(name=PREFIX + name),
            spec=spec,
        )
        await self._writer.async_apply([order])
        return monotonic_now()
