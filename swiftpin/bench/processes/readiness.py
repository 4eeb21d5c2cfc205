"""Wait for a started process to become ready."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from swiftpin.bench.exceptions import NotReadyError, ProcessEndedError
from swiftpin.bench.processes.managed_process import ManagedProcess

POLL_INTERVAL: Final = 0.05
POLL_TIMEOUT: Final = ClientTimeout(total=1.0)


async def async_is_ready(session: ClientSession, url: str) -> bool:
    """Return whether the address answers 200."""
    try:
        async with session.get(url, timeout=POLL_TIMEOUT) as response:
            return response.status == HTTPStatus.OK
    except (ClientError, TimeoutError, OSError):
        return False


async def async_wait_ready(
    session: ClientSession, process: ManagedProcess, timeout: float
) -> None:
    """Poll until the process is ready, at most `timeout` seconds.

    Raises `ProcessEndedError` if it ends meanwhile, `NotReadyError` on time-out.
    """
    url = process.spec.ready_url
    if url is None:
        return
    name = process.spec.name
    try:
        async with asyncio.timeout(timeout):
            while not await async_is_ready(session, url):
                if not process.is_running:
                    raise ProcessEndedError(f"{name} ended:\n{process.log_tail()}")
                await asyncio.sleep(POLL_INTERVAL)
    except TimeoutError as err:
        raise NotReadyError(f"{name} not ready:\n{process.log_tail()}") from err
