"""A cluster whose gateways may lose news."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Final

from swiftpin.bench.cluster.cluster import READY_TIMEOUT, Cluster
from swiftpin.bench.cluster.cluster_commands import gateway_process
from swiftpin.bench.cluster.cluster_spec import ClusterSpec

MODULE_LOSSY: Final = "swiftpin.bench.experiments.config_lossy_gateway"


class LossyCluster(Cluster):
    """A cluster in which every gateway loses a share of the news, if `lossy`."""

    def __init__(self, spec: ClusterSpec, directory: Path, *, lossy: bool) -> None:
        super().__init__(spec, directory)
        self._lossy = lossy

    async def async_start_gateways(self, names: list[str]) -> None:
        """Start gateways, also again after they ended."""
        if not self._lossy:
            await super().async_start_gateways(names)
            return
        for name in names:
            place = self.layout.gateways_by_name[name]
            process = gateway_process(self.spec, self.layout, place, self.directory)
            self.supervisor.start(replace(process, module=MODULE_LOSSY))
        await self.supervisor.async_wait_ready(names, READY_TIMEOUT)
