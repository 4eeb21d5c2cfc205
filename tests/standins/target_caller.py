"""Holder and caller of a stand-in target in tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager, suppress
from typing import Any

from aiohttp import ClientResponse, ClientSession

from swiftpin.core import monotonic_now
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from tests.standins.event_log import EventLog

RequestContext = AbstractAsyncContextManager[ClientResponse]

SERVICE = "desk"
HOLDER = "i1/aa"
LONG = {"X_Work_Ms": "60000", "X_Abortable": "1"}
"""Headers of a request that runs until its caller leaves."""


class TargetCaller:
    """Sends control messages and requests for group 0 of one service."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def async_status(self) -> dict[str, Any]:
        """Return the target's status."""
        async with self._session.get(f"{self._url}/_target/status") as response:
            return await self._async_json(response)

    async def async_fence(
        self, term: int = 2, holder: str = HOLDER
    ) -> tuple[int, dict[str, Any]]:
        """Fence the target; return the HTTP status and the answer."""
        message = {"service": SERVICE, "group": 0, "term": term, "holder": holder}
        async with self._session.post(
            f"{self._url}/_target/fence", json=message
        ) as response:
            return response.status, await self._async_json(response)

    async def async_grants(
        self, boot_id: str, **fields: object
    ) -> tuple[int, dict[str, Any]]:
        """Send a grants message that lives for a minute unless told otherwise."""
        message = {
            "service": SERVICE,
            "group": 0,
            "term": 2,
            "holder": HOLDER,
            "boot_id": boot_id,
            "expires_at": monotonic_now() + 60,
            **fields,
        }
        async with self._session.post(
            f"{self._url}/_target/grants", json=message
        ) as response:
            return response.status, await self._async_json(response)

    async def async_own(self, slice_id: int = 7) -> None:
        """Fence the target and grant it a slice."""
        _, answer = await self.async_fence()
        await self.async_grants(answer["boot_id"], grant=[[slice_id, 1]])

    def request(
        self, path: str = "/x", *, method: str = "POST", **headers: str
    ) -> RequestContext:
        """Return a request's context manager; `X_Work_Ms` becomes `X-Work-Ms`."""
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        return self._session.request(
            method,
            f"{self._url}{path}",
            headers={"Swiftpin-Service": SERVICE, "Swiftpin-Request-Id": "r1", **given},
        )

    def keyed(self, term: int = 2, /, **headers: str) -> RequestContext:
        """Return the context manager of a request on slice 7."""
        keyed = {
            "Swiftpin_Key": "k",
            "Swiftpin_Slice": "7",
            "Swiftpin_Group": "0",
            "Swiftpin_Term": str(term),
            "Swiftpin_Holder": HOLDER,
        }
        return self.request(**keyed, **headers)

    async def async_refusal(self, term: int = 2, **headers: str) -> str | None:
        """Send a request on slice 7 and return why it was refused, if it was."""
        async with self.keyed(term, **headers) as response:
            await response.read()
            refusal: str | None = response.headers.get("Target-Refusal")
            return refusal

    @staticmethod
    async def _async_json(response: ClientResponse) -> dict[str, Any]:
        """Return the answer's document."""
        document: dict[str, Any] = await response.json()
        return document


@asynccontextmanager
async def running_target(
    options: TargetOptions, event_log: EventLog
) -> AsyncIterator[TargetCaller]:
    """Run a target with settings of its own."""
    target = TargetStandin(options, on_event=event_log.add)
    url = await target.async_start()
    async with ClientSession() as session:
        yield TargetCaller(session, url)
    await target.async_stop()


async def _async_send(request: RequestContext) -> None:
    """Send a request and read its answer."""
    async with request as response:
        await response.read()


@asynccontextmanager
async def running_request(request: RequestContext) -> AsyncIterator[None]:
    """Have a request under way; its caller leaves at the end."""
    task = asyncio.create_task(_async_send(request))
    try:
        yield
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
