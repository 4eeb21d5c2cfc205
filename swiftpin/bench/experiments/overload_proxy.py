"""Proxies without queue and priorities, to compare the gateway's behaviour with.

`python -m swiftpin.bench.experiments.overload_proxy --listen HOST:PORT
--policy POLICY --target HOST:PORT ...`
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from http import HTTPStatus
from itertools import cycle
from random import Random
from typing import Final

from aiohttp import (
    ClientConnectionError,
    ClientPayloadError,
    ClientSession,
    DummyCookieJar,
    TCPConnector,
    web,
)
import uvloop

from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.const import HEADER_RESULT
from swiftpin.core import callback
from swiftpin.result import ResultCode

MAX_CONNECTIONS: Final = 2_000
POLICIES: Final = (OverloadContender.ROUND_ROBIN, OverloadContender.LEAST_IN_FLIGHT)
RETRIES: Final = 2
"""Further tries of `LEAST_IN_FLIGHT`, at once and without a budget."""


class _TargetChoice:
    """Chooses a target for each try, by turns or by requests in flight."""

    def __init__(self, policy: OverloadContender, targets: list[str]) -> None:
        self._policy = policy
        self._turns: Iterator[str] = cycle(targets)
        self._random = Random(" ".join(targets))
        self.in_flight_by_target = dict.fromkeys(targets, 0)

    @callback
    def next(self) -> str:
        """Return the target for the next try."""
        match self._policy:
            case OverloadContender.ROUND_ROBIN:
                return next(self._turns)
            case _:
                least = min(self.in_flight_by_target.values())
                idle = [
                    target
                    for target, count in self.in_flight_by_target.items()
                    if count == least
                ]
                return self._random.choice(idle)


class OverloadProxy:
    """Passes requests to targets as soon as they come."""

    def __init__(self, policy: OverloadContender, targets: list[str]) -> None:
        self._choice = _TargetChoice(policy, targets)
        self._tries = 1 if policy is OverloadContender.ROUND_ROBIN else 1 + RETRIES
        self._session: ClientSession | None = None

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/healthz", self._async_healthz)
        app.router.add_route("*", "/{service}/{path:.*}", self._async_pass)
        app.on_startup.append(self._async_open)
        app.on_cleanup.append(self._async_close)
        return app

    async def _async_open(self, _app: web.Application) -> None:
        """Open the session to the targets."""
        self._session = ClientSession(
            connector=TCPConnector(limit=MAX_CONNECTIONS),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
        )

    async def _async_close(self, _app: web.Application) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _async_healthz(self, _request: web.Request) -> web.Response:
        """Answer that the proxy is up."""
        return web.Response()

    async def _async_pass(self, request: web.Request) -> web.Response:
        """Pass one request on, again after a failure if the policy says so."""
        body = await request.read()
        response = await self._async_try(request, body)
        for _ in range(self._tries - 1):
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                break
            response = await self._async_try(request, body)
        return response

    async def _async_try(self, request: web.Request, body: bytes) -> web.Response:
        """Return a target's answer, 502 when there is none."""
        if self._session is None:
            raise RuntimeError("the proxy is used outside its application")
        target = self._choice.next()
        self._choice.in_flight_by_target[target] += 1
        try:
            async with self._session.request(
                request.method,
                f"http://{target}/{request.match_info['path']}",
                headers=request.headers,
                data=body or None,
            ) as answer:
                return _marked(answer.status, await answer.read())
        except (ClientConnectionError, ClientPayloadError):
            return web.Response(status=HTTPStatus.BAD_GATEWAY)
        finally:
            self._choice.in_flight_by_target[target] -= 1


@callback
def _marked(status: int, body: bytes) -> web.Response:
    """Return a target's answer, marked as swiftpin marks those that were executed.

    The callers then count the answers of all contenders by one rule.
    """
    if status >= HTTPStatus.BAD_REQUEST:
        return web.Response(status=status, body=body)
    headers = {HEADER_RESULT: str(int(ResultCode.ANSWERED))}
    return web.Response(status=status, body=body, headers=headers)


def main() -> None:
    """Run the proxy until it is signalled."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument(
        "--policy", type=OverloadContender, choices=POLICIES, required=True
    )
    parser.add_argument("--target", action="append", required=True)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    uvloop.install()
    web.run_app(
        OverloadProxy(arguments.policy, arguments.target).make_app(),
        host=host,
        port=int(port),
        access_log=None,
        print=None,
    )


if __name__ == "__main__":
    main()
