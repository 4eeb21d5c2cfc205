"""Tests of the load generator against a small server."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

from aiohttp import web
from aiohttp.test_utils import TestServer
import orjson
import pytest

from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.load.load_mode import ClosedLoop, OpenLoop
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.request_kind import RequestKind
from swiftpin.bench.processes.supervisor import Supervisor

BOOKING = LoadClass(
    name="booking", kind=RequestKind.BOOKING, service="desk", path="orders", share=1
)


class FlakyDesk:
    """Refuses the first try of each booking and answers the second."""

    def __init__(self) -> None:
        self.tries_by_key: Counter[str] = Counter()
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self.tickets: list[str | None] = []

    async def async_book(self, request: web.Request) -> web.Response:
        """Answer one try."""
        key = request.headers["Idempotency-Key"]
        self.tries_by_key[key] += 1
        self.bodies_by_key.setdefault(key, set()).add(await request.read())
        self.tickets.append(request.headers.get("Swiftpin-Ticket"))
        if self.tries_by_key[key] == 1:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={"Swiftpin-Result": "301", "Swiftpin-Ticket": f"for {key}"},
            )
        return web.Response(text="booked", headers={"Swiftpin-Result": "100"})


@pytest.fixture
async def desk() -> FlakyDesk:
    """Return the server's behaviour."""
    return FlakyDesk()


@pytest.fixture
async def entry(desk: FlakyDesk) -> AsyncIterator[str]:
    """Return the address of a running server."""
    app = web.Application()
    app.router.add_post("/desk/orders", desk.async_book)
    server = TestServer(app, host="127.0.0.1")
    await server.start_server()
    yield f"127.0.0.1:{server.port}"
    await server.close()


@pytest.fixture
async def driver(tmp_path: Path) -> AsyncIterator[LoadDriver]:
    """Return a driver whose workers end with the test."""
    async with Supervisor(tmp_path) as supervisor:
        yield LoadDriver(supervisor)


async def test_callers_resend_until_answered(
    desk: FlakyDesk, entry: str, driver: LoadDriver
) -> None:
    """Each booking is answered in the end, under one key and with one body."""
    load = LoadSpec(
        entries=(entry,),
        classes=(BOOKING,),
        mode=OpenLoop(rate=60),
        duration=1.0,
        warmup=0.0,
        traced=True,
    )
    run = await driver.async_start(load)
    result = await run.async_result()
    booking = result.classes_by_name["booking"]
    assert booking.answered == booking.scheduled == len(desk.tries_by_key)
    assert booking.tries_by_result == {
        "301": booking.scheduled,
        "100": booking.scheduled,
    }
    assert set(desk.tries_by_key.values()) == {2}
    tickets = {f"for {key}" for key in desk.tries_by_key}
    assert set(desk.tickets) == {None, *tickets}
    assert all(len(bodies) == 1 for bodies in desk.bodies_by_key.values())
    lines = [
        orjson.loads(line)
        for path in run.trace_paths
        for line in path.read_bytes().splitlines()
    ]
    assert len(lines) == 2 * booking.scheduled
    assert {line["result"] for line in lines} == {100, 301}


async def test_closed_loop_sends_one_after_another(
    desk: FlakyDesk, entry: str, driver: LoadDriver
) -> None:
    """Callers of a closed loop leave nothing open."""
    load = LoadSpec(
        entries=(entry,),
        classes=(BOOKING,),
        mode=ClosedLoop(callers=3),
        duration=0.5,
        warmup=0.0,
    )
    run = await driver.async_start(load)
    result = await run.async_result()
    assert result.answered == result.scheduled == len(desk.tries_by_key)
    assert result.answered > 0
