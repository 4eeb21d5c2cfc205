"""Calls to the platform's instance list and to the instances in it."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout
import orjson
from pydantic import ValidationError

from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instance_status_model import InstanceStatusModel
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError
from swiftpin.exceptions import PeerError
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.membership.instance_list_model import InstanceListModel

CALL_TIMEOUT: Final = 2.0
"""Seconds that one call may take."""

MAX_CALLS_AT_ONCE: Final = 100


class InstancesClient:
    """Asks for the list, for each instance's status and for explanations."""

    def __init__(
        self, session: ClientSession, url: str, *, timeout: float = CALL_TIMEOUT
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout)
        self._slots = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    async def async_list(self) -> list[InstanceInfo]:
        """Return the listed instances by name; raise `InstancesUnavailableError`."""
        url = f"{self._url}/v1/instances"
        try:
            body = await self._async_get(url, {})
            infos_by_name = InstanceListModel.model_validate_json(
                body
            ).to_infos_by_name()
        except (PeerError, ValidationError) as err:
            raise InstancesUnavailableError(
                f"the instance list cannot be read: {err}"
            ) from err
        return [infos_by_name[name] for name in sorted(infos_by_name)]

    async def async_reports(self) -> list[InstanceReport]:
        """Return a report of each listed instance, the silent ones too."""
        infos = await self.async_list()
        return await asyncio.gather(*(self._async_report(info) for info in infos))

    async def async_explain(self, info: InstanceInfo, service: str, key: str) -> Any:  # noqa: ANN401 - JSON of the instance, shown as it is
        """Return what an instance says about a key; raise `PeerError` if nothing.

        Its errors count as answers: why a key has no owner is an explanation too.
        """
        url = f"http://{info.admin}/v1/explain"
        params = {"service": service, "key": key}
        body = await self._async_get(url, params, any_status=True)
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as err:
            raise PeerError(f"{url} answered no JSON") from err

    async def _async_report(self, info: InstanceInfo) -> InstanceReport:
        """Ask one instance; silence is part of the report."""
        url = f"http://{info.admin}/v1/status"
        try:
            async with self._slots:
                body = await self._async_get(url, {})
            model = InstanceStatusModel.model_validate_json(body)
        except PeerError as err:
            return InstanceReport(info=info, error=str(err))
        except ValidationError:
            return InstanceReport(info=info, error=f"{url} answered no status")
        return InstanceReport(info=info, status=model.to_status())

    async def _async_get(
        self, url: str, params: dict[str, str], *, any_status: bool = False
    ) -> bytes:
        """Return the body of an answer; raise `PeerError` when there is none."""
        try:
            async with self._session.get(
                url, params=params, timeout=self._timeout
            ) as response:
                body = await response.read()
                status = response.status
        except TimeoutError as err:
            raise PeerError(f"{url} did not answer in time") from err
        except ClientError as err:
            raise PeerError(f"{url}: {err}") from err
        if status != HTTPStatus.OK and not any_status:
            raise PeerError(f"{url} answered {status}")
        return body
