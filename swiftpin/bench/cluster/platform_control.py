"""Faults and counters of a cluster's stand-ins."""

from __future__ import annotations

from aiohttp import ClientSession
import orjson

from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.store_calls import StoreCalls
from swiftpin.standins.http_standin import PATH_COUNTERS, PATH_FAULTS, PATH_STANDIN
from swiftpin.standins.instance_change import InstanceChange
from swiftpin.standins.store_faults import StoreFaults
from swiftpin.standins.store_standin import COUNT_READS, COUNT_WATCHES, COUNT_WRITES
from swiftpin.standins.target_faults import TargetFaults


class PlatformControl:
    """Commands of the stand-ins' own interface."""

    def __init__(self, session: ClientSession, layout: ClusterLayout) -> None:
        self._session = session
        self._layout = layout

    async def async_set_store_faults(self, faults: StoreFaults) -> None:
        """Replace the store's faults."""
        await self._async_put(f"{self._layout.store_url}{PATH_FAULTS}", faults)

    async def async_set_target_faults(self, target: str, faults: TargetFaults) -> None:
        """Replace the faults of a target."""
        address = self._layout.targets_by_id[target].address
        await self._async_put(f"http://{address}{PATH_FAULTS}", faults)

    async def async_change_instance(self, name: str, change: InstanceChange) -> None:
        """Change an instance in the list; it shows after the list's lag."""
        base = f"{self._layout.instances_url}{PATH_STANDIN}instances"
        document = {
            "state": change.state.value,
            "zone": change.zone,
            "peer": change.peer,
            "forward": change.forward,
            "admin": change.admin,
        }
        given = {key: value for key, value in document.items() if value is not None}
        await self._async_put(f"{base}/{name}", given)

    async def async_store_calls(self) -> StoreCalls:
        """Return how many calls the store has carried out."""
        url = f"{self._layout.store_url}{PATH_COUNTERS}"
        async with self._session.get(url) as response:
            response.raise_for_status()
            totals = orjson.loads(await response.read())["totals"]
        return StoreCalls(
            reads=totals[COUNT_READS],
            writes=totals[COUNT_WRITES],
            watches=totals[COUNT_WATCHES],
        )

    async def _async_put(self, url: str, document: object) -> None:
        """Send a JSON document; raises `ClientResponseError` when it is refused."""
        async with self._session.put(url, data=orjson.dumps(document)) as response:
            response.raise_for_status()
