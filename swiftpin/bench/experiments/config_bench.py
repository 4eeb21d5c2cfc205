"""What runs of the configuration experiment have in common."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_profile import BENCH_PROFILE
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_adoption import Adoption
from swiftpin.bench.experiments.config_everywhere import (
    async_wait_everywhere,
    newest_generations,
)
from swiftpin.bench.experiments.config_judgement import newest_by_label
from swiftpin.bench.experiments.config_log import read_adoptions
from swiftpin.bench.experiments.config_operator import ConfigOperator
from swiftpin.bench.processes.polling import async_poll
from swiftpin.cli.instances_client import InstancesClient
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.repository import ConfigRepository
from swiftpin.store.client import StoreClient

SERVICE: Final = "desk"
TARGETS: Final = 20
GROUPS: Final = 4
PROFILE: Final = ConfigName(kind=ConfigKind.PROFILE, name=SERVICE)
RACE_PROFILES: Final = (PROFILE, ConfigName(kind=ConfigKind.PROFILE, name="race"))
GAP_MIN: Final = 0.2
GAP_MAX: Final = 0.6
IN_FORCE_LIMIT: Final = 20.0
"""Seconds after which a change counts as one that does not come."""
LOG_LIMIT: Final = 5.0


def cluster_spec(instances: int, seed: int) -> ClusterSpec:
    """Return a desk of today's size behind so many instances."""
    service = ServiceSpec(name=SERVICE, targets=TARGETS, groups=GROUPS)
    return ClusterSpec(services=(service,), gateways=instances, traced=False, seed=seed)


class ConfigBench:
    """A running cluster with operators and with what its instances say."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random = Random(f"config/{seed}")
        self.repository = ConfigRepository(
            StoreClient(cluster.session, cluster.layout.store_url)
        )
        self.instances = InstancesClient(cluster.session, cluster.layout.instances_url)

    def operator(self, name: str, *, retires: bool = False) -> ConfigOperator:
        """Return an operator."""
        return ConfigOperator(
            self.repository,
            name=name,
            random=Random(self.random.random()),
            retires=retires,
        )

    async def async_change_in_turn(self, count: int) -> list[AcceptedChange]:
        """Let one operator make changes with random gaps."""
        operator = self.operator("operator")
        changes = []
        for _ in range(count):
            changes.append(await operator.async_change(PROFILE, BENCH_PROFILE))
            await asyncio.sleep(self.random.uniform(GAP_MIN, GAP_MAX))
        return changes

    async def async_wait_everywhere(self, changes: Sequence[AcceptedChange]) -> None:
        """Wait until the changes are in force everywhere and logged, or for the limit.

        Gateways write their logs a moment later, so an instance may show a generation
        that is not in its log yet; it would count as one that never came.
        """
        await async_wait_everywhere(self.instances, changes, IN_FORCE_LIMIT)
        with suppress(TimeoutError):
            await async_poll(lambda: self._are_logged(changes), LOG_LIMIT)

    def _are_logged(self, changes: Sequence[AcceptedChange]) -> bool:
        """Return whether every instance logged the newest of the changes."""
        newest = newest_generations(changes)
        return all(
            newest_by_label(adoptions).get(label, 0) >= generation
            for adoptions in self.adoptions_by_instance().values()
            for label, generation in newest.items()
        )

    def adoptions_by_instance(self) -> dict[str, list[Adoption]]:
        """Return what every instance put in force, in its order."""
        paths_by_name: dict[str, Path] = {
            process.spec.name: process.log_path for process in self.cluster.gateways
        }
        return {name: read_adoptions(path) for name, path in paths_by_name.items()}
