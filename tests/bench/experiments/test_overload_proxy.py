"""Tests of the proxies that the gateway is compared with."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from http import HTTPStatus

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
import pytest

from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.bench.experiments.overload_proxy import RETRIES, OverloadProxy
from swiftpin.const import HEADER_RESULT


class CountingTarget:
    """Answers with a status and counts requests."""

    def __init__(self, status: HTTPStatus) -> None:
        self.paths: list[str] = []
        self._status = status

    async def async_answer(self, request: web.Request) -> web.Response:
        """Answer one request."""
        self.paths.append(request.path)
        return web.Response(status=self._status, body=await request.read())


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Return what ends the servers of a test."""
    async with AsyncExitStack() as exit_stack:
        yield exit_stack


async def async_start(
    stack: AsyncExitStack,
    policy: OverloadContender,
    targets: list[CountingTarget],
) -> TestClient[web.Request, web.Application]:
    """Return a client of a proxy before the targets."""
    addresses = []
    for target in targets:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", target.async_answer)
        server = await stack.enter_async_context(TestServer(app, host="127.0.0.1"))
        addresses.append(f"127.0.0.1:{server.port}")
    proxy = OverloadProxy(policy, addresses)
    return await stack.enter_async_context(TestClient(TestServer(proxy.make_app())))


async def test_answer_is_passed_on_and_marked(stack: AsyncExitStack) -> None:
    """The target sees the path behind the service; callers see an answer."""
    target = CountingTarget(HTTPStatus.CREATED)
    client = await async_start(stack, OverloadContender.ROUND_ROBIN, [target])
    answer = await client.post("/desk/orders", data="body")
    assert await answer.text() == "body"
    assert answer.headers[HEADER_RESULT] == "100"
    assert target.paths == ["/orders"]


async def test_round_robin_takes_turns_and_tries_once(stack: AsyncExitStack) -> None:
    """A refusal goes to the caller, without the mark of an answer."""
    targets = [CountingTarget(HTTPStatus.SERVICE_UNAVAILABLE) for _ in range(2)]
    client = await async_start(stack, OverloadContender.ROUND_ROBIN, targets)
    for _ in range(4):
        answer = await client.get("/desk/items")
        assert HEADER_RESULT not in answer.headers
    assert [len(target.paths) for target in targets] == [2, 2]


async def test_least_in_flight_retries_at_once(stack: AsyncExitStack) -> None:
    """Each refusal is tried again, and nothing limits how many retries there are."""
    target = CountingTarget(HTTPStatus.SERVICE_UNAVAILABLE)
    client = await async_start(stack, OverloadContender.LEAST_IN_FLIGHT, [target])
    await client.get("/desk/items")
    assert len(target.paths) == 1 + RETRIES
