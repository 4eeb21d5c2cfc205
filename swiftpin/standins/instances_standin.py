"""Stand-in of the platform's instance list."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, replace
from typing import Final

from aiohttp.web import BaseRequest, Response
from aiohttp.web_response import StreamResponse
from pydantic import TypeAdapter, ValidationError

from swiftpin.core import callback, monotonic_now
from swiftpin.helpers.address import Address
from swiftpin.standins.http_standin import ANY_PORT, HttpStandin, json_response
from swiftpin.standins.instance_change import InstanceChange
from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.instances_faults import InstancesFaults
from swiftpin.standins.listed_instance import ListedInstance

PATH_INSTANCES: Final = "/v1/instances"
PATH_CHANGE: Final = "/_standin/instances/"
COUNT_READS: Final = "reads"

_CHANGE_ADAPTER: Final = TypeAdapter(InstanceChange)


class InstancesStandin(HttpStandin[InstancesFaults]):
    """The list of live and leaving instances; changes show after a lag.

    `lag` is in seconds. The instances given at the start show at once.
    """

    def __init__(
        self,
        *,
        address: Address | None = None,
        lag: float = 0.0,
        instances: Iterable[ListedInstance] = (),
    ) -> None:
        super().__init__(InstancesFaults(), address or ANY_PORT)
        self._lag = lag
        self._listed_by_name = {item.name: item for item in instances}
        self._latest_by_name = dict(self._listed_by_name)
        self._pending: deque[tuple[float, ListedInstance]] = deque()

    @callback
    def change(self, instance: ListedInstance, now: float) -> None:
        """Take a new state of an instance, to show after the lag."""
        self._latest_by_name[instance.name] = instance
        self._pending.append((now + self._present_lag(), instance))

    @callback
    def change_state(self, name: str, state: InstanceState, now: float) -> None:
        """Change the state of a known instance, to show after the lag."""
        self.change(replace(self._latest_by_name[name], state=state), now)

    def listed(self, now: float) -> list[ListedInstance]:
        """Return what the list shows."""
        while self._pending and self._pending[0][0] <= now:
            _, instance = self._pending.popleft()
            self._listed_by_name[instance.name] = instance
        return [
            instance
            for instance in self._listed_by_name.values()
            if instance.state is not InstanceState.GONE
        ]

    async def _async_call(self, request: BaseRequest) -> StreamResponse:
        """Answer the list."""
        if request.method != "GET" or request.path != PATH_INSTANCES:
            return json_response({"error": "no such call"}, 404)
        now = monotonic_now()
        self.counters.add(COUNT_READS, now)
        return json_response({"instances": self.listed(now)})

    async def _async_standin_call(self, request: BaseRequest) -> Response:
        """Change an instance, or leave the call to the base."""
        if request.method != "PUT" or not request.path.startswith(PATH_CHANGE):
            return await super()._async_standin_call(request)
        try:
            change = _CHANGE_ADAPTER.validate_json(await request.read())
        except ValidationError as err:
            return json_response({"error": str(err)}, 400)
        return self._apply(request.path.removeprefix(PATH_CHANGE), change)

    @callback
    def _apply(self, name: str, change: InstanceChange) -> Response:
        """Apply a change that came over HTTP."""
        given = {
            field: value for field, value in asdict(change).items() if value is not None
        }
        latest = self._latest_by_name.get(name)
        try:
            instance = (
                replace(latest, **given)
                if latest
                else ListedInstance(name=name, **given)
            )
        except TypeError:
            return json_response({"error": "a new instance needs all fields"}, 400)
        self.change(instance, monotonic_now())
        return json_response(instance)

    def _present_lag(self) -> float:
        """Return the lag in force, in seconds."""
        lag_ms = self._faults.lag_ms
        return self._lag if lag_ms is None else lag_ms / 1000
