"""Tests of targets whose answers have no status of HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp.web import Request, Response
import pytest

from tests.router.site import Site, route
from tests.router.target_standin import TargetStandin

NO_STATUS_LINES: Final = [
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 099 Below",
    b"HTTP/1.1 600 Above",
    b"HTTP/1.1 999 Above",
    b"HTTP/1.1 20 Short",
    b"HTTP/1.1 2000 Long",
    b"HTTP/1.1 -200 Negative",
    b"HTTP/1.1 2x0 Letter",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/3 200 OK",
    b"ICY 200 OK",
]
ROUTE_TIMEOUT_MS: Final = 9000


class OddTarget(TargetStandin):
    """Begins some of its answers with a given line."""

    def __init__(self, name: str, *, is_keyed: bool = True) -> None:
        super().__init__(name, is_keyed=is_keyed)
        self.status_line = b""
        self.odd_answers = 0

    async def _async_work(self, request: Request) -> Response:
        """Run the request, and answer it with the odd line while there are any."""
        answer = await super()._async_work(request)
        if not self.odd_answers:
            return answer
        self.odd_answers -= 1
        assert request.transport is not None
        request.transport.write(
            self.status_line
            + b"\r\nSwiftpin-Upstream-Signature: s\r\nContent-Length: 2\r\n\r\nno"
        )
        while not request.transport.is_closing():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return answer


class OddSite(Site):
    """A site whose targets may answer oddly."""

    def make_target(self, name: str, *, is_keyed: bool) -> TargetStandin:
        """Return a target that is not started yet."""
        return OddTarget(name, is_keyed=is_keyed)

    def set_odd_answers(self, status_line: bytes, count: int) -> None:
        """Let each target answer oddly for some requests."""
        for target in self.targets_by_name.values():
            assert isinstance(target, OddTarget)
            target.status_line = status_line
            target.odd_answers = count


@pytest.fixture(name="odd_site")
async def odd_site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[OddSite]:
    """Return a running site with one keyed and one unkeyed target."""
    site = OddSite(monkeypatch)
    site.routes = [
        route("/read/", "safe", timeout_ms=ROUTE_TIMEOUT_MS),
        route("/book/", "unsafe", timeout_ms=ROUTE_TIMEOUT_MS),
    ]
    try:
        await site.async_setup(targets=1, routers=1)
        yield site
    finally:
        await site.async_unload()


@pytest.mark.parametrize("line", NO_STATUS_LINES)
async def test_answer_without_a_status_is_no_answer(
    odd_site: OddSite, line: bytes
) -> None:
    """Guards against a caller that gets such an answer, or waits until its deadline."""
    odd_site.set_odd_answers(line, 1)
    reply = await odd_site.async_call(
        "/book/a", method="POST", body=b"b", deadline=ROUTE_TIMEOUT_MS
    )
    # An answer at the deadline would be 504.
    assert reply.status == 502
    assert odd_site.count_runs(reply.headers["id"]) == 1


@pytest.mark.parametrize("line", NO_STATUS_LINES)
async def test_safe_request_is_sent_again_after_it(
    odd_site: OddSite, line: bytes
) -> None:
    """Guards against a safe request that fails although a target would answer it."""
    odd_site.earn_retry_credit()
    odd_site.set_odd_answers(line, 1)
    reply = await odd_site.async_call("/read/a", deadline=ROUTE_TIMEOUT_MS)
    assert reply.status == 200
    assert odd_site.count_runs(reply.headers["id"]) == 2


@pytest.mark.parametrize("status", [400, 418, 451, 499, 500, 507, 599])
async def test_unusual_status_is_passed_on(odd_site: OddSite, status: int) -> None:
    """Guards against answers that are refused for a status that HTTP allows."""
    odd_site.set_odd_answers(b"HTTP/1.1 %d Unusual" % status, 1)
    reply = await odd_site.async_call("/book/a", method="POST", body=b"b")
    assert reply.status == status
    assert reply.body == b"no"
