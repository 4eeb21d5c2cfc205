"""Wait until accepted changes are in force at all instances."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from typing import Final

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.cli.in_force import missing_generations
from swiftpin.cli.instances_client import InstancesClient
from swiftpin.core import monotonic_now

POLL_INTERVAL: Final = 0.1


def newest_generations(changes: Iterable[AcceptedChange]) -> dict[str, int]:
    """Return the newest accepted generation of each changed declaration."""
    newest: dict[str, int] = {}
    for change in changes:
        newest[change.label] = max(newest.get(change.label, 0), change.generation)
    return newest


async def async_wait_everywhere(
    instances: InstancesClient,
    changes: Sequence[AcceptedChange],
    limit: float,
) -> bool:
    """Return whether all listed instances had them in force within `limit` seconds."""
    wanted = newest_generations(changes)
    end = monotonic_now() + limit
    while monotonic_now() < end:
        reports = await instances.async_reports()
        if not any(missing_generations(item, wanted) for item in reports):
            return True
        await asyncio.sleep(POLL_INTERVAL)
    return False
