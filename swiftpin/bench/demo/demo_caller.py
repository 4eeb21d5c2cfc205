"""Caller of the demonstration."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

from swiftpin.bench.demo.demo_answer import DemoAnswer
from swiftpin.bench.demo.demo_request import DemoRequest
from swiftpin.bench.demo.screen import Screen
from swiftpin.bench.exceptions import BenchError
from swiftpin.const import HEADER_IDEMPOTENCY_KEY, HEADER_KEY, HEADER_RESULT
from swiftpin.result import ResultCode
from swiftpin.standins.target_executor import HEADER_TARGET_NAME

TRY_TIMEOUT: Final = ClientTimeout(total=2.0)
RETRY_WAIT: Final = 0.2


class DemoCaller:
    """Sends requests to gateways and shows each answer."""

    def __init__(
        self,
        session: ClientSession,
        entries_by_gateway: Mapping[str, str],
        screen: Screen,
    ) -> None:
        self._session = session
        self._entries_by_gateway = entries_by_gateway
        self._screen = screen

    async def async_call(self, gateway: str, request: DemoRequest) -> DemoAnswer:
        """Send once; raises `ClientError` or `TimeoutError` without an answer."""
        headers = {}
        if request.key is not None:
            headers[HEADER_KEY] = request.key
        if request.idempotency_key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = request.idempotency_key
        url = f"http://{self._entries_by_gateway[gateway]}/{request.path}"
        async with self._session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            timeout=TRY_TIMEOUT,
        ) as response:
            answer = await self._async_read(response)
        self._screen.show_answer(gateway, request, answer)
        return answer

    async def async_call_until_answered(
        self, gateways: list[str], request: DemoRequest, timeout: float
    ) -> DemoAnswer:
        """Send to the gateways in turn until a target answers.

        Raises `BenchError` after `timeout` seconds.
        """
        tries = 0
        try:
            async with asyncio.timeout(timeout):
                while True:
                    answer = await self._async_try(
                        gateways[tries % len(gateways)], request
                    )
                    if answer is not None and answer.is_answered:
                        return answer
                    tries += 1
                    await asyncio.sleep(RETRY_WAIT)
        except TimeoutError as err:
            raise BenchError(f"no answer to {request.text} in {timeout} s") from err

    async def _async_try(self, gateway: str, request: DemoRequest) -> DemoAnswer | None:
        """Send once; return None without an answer."""
        try:
            return await self.async_call(gateway, request)
        except (ClientError, TimeoutError, OSError) as err:
            self._screen.show_failure(gateway, request, err)
            return None

    @staticmethod
    async def _async_read(response: ClientResponse) -> DemoAnswer:
        """Return the whole answer."""
        result = response.headers.get(HEADER_RESULT)
        return DemoAnswer(
            status=response.status,
            result=None if result is None else ResultCode(int(result)),
            target=response.headers.get(HEADER_TARGET_NAME),
            body=await response.read(),
        )
