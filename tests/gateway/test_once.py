"""Requests that are not repeatable run at most once."""

from __future__ import annotations

import asyncio

from swiftpin.result import ResultCode
from tests.gateway.conftest import local_route
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GROUP, GatewayFixture
from tests.gateway.raw_caller import RawAnswer, RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)

KEY = "Idempotency-Key: b1\r\n"


async def async_book(
    caller: RawCaller, *, body: bytes = b"order", headers: str = ""
) -> RawAnswer:
    """Book once."""
    return await caller.async_call(
        "POST", "/desk/bookings", headers=KEY + headers, body=body
    )


async def test_resend_gets_the_recorded_answer(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """The second send of a booking is answered without a second run."""

    async def async_create(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_answer(
            b"booked", status="201 Created", headers="X-Order: 7\r\n"
        )

    target.script = async_create
    first = await async_book(caller)
    second = await async_book(caller)
    assert (first.status, first.result) == (201, ResultCode.ANSWERED)
    assert (second.status, second.result) == (201, ResultCode.REPLAYED)
    assert (second.body, second.headers_by_name["x-order"]) == (b"booked", "7")
    assert len(target.seen) == 1
    assert target.seen[0].headers_by_name["idempotency-key"] == "b1"


async def test_key_with_other_content_is_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A key that comes again with another body is the caller's mistake."""
    await async_book(caller)
    answer = await async_book(caller, body=b"other")
    assert (answer.status, answer.result) == (422, ResultCode.IDEMPOTENCY_KEY_REUSED)
    assert len(target.seen) == 1


async def test_large_answer_is_not_kept(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A resend learns that the request ran when its answer was too large to keep."""

    async def async_large(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_answer(b"x" * 100_000)

    target.script = async_large
    first = await async_book(caller)
    assert (first.whole, len(first.body)) == (True, 100_000)
    second = await async_book(caller)
    assert (second.status, second.result) == (409, ResultCode.ANSWER_NOT_KEPT)
    assert second.error["executed"] == "yes"
    assert len(target.seen) == 1


async def test_lost_answer_is_never_run_again(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: an order is booked twice.

    The target runs a booking and its connection breaks before the answer. The
    caller sends it again: it may have run, so it must not run now.
    """

    async def async_reset(connection: ScriptedConnection, request: SeenRequest) -> None:
        connection.reset()

    target.script = async_reset
    first = await async_book(caller)
    second = await async_book(caller)
    assert first.result == ResultCode.ANSWER_LOST
    assert second.result == ResultCode.OUTCOME_UNKNOWN
    assert second.error["executed"] == "unknown"
    assert len(target.seen) == 1


async def test_refused_request_may_run_later(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A booking that the target refused runs when it is sent again."""

    async def async_refuse_first(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        if len(target.seen) > 1:
            await connection.async_answer()
            return
        await connection.async_answer(
            status="503 Busy", headers="Target-Refusal: shed\r\n"
        )

    target.script = async_refuse_first
    first = await async_book(caller)
    assert (first.result, first.error["executed"]) == (ResultCode.TARGET_REFUSED, "no")
    assert (await async_book(caller)).result == ResultCode.ANSWERED


async def test_resend_waits_for_the_run(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A resend that comes while the first send runs shares its answer."""
    release = asyncio.Event()

    async def async_slow(connection: ScriptedConnection, request: SeenRequest) -> None:
        await release.wait()
        await connection.async_answer(b"booked")

    target.script = async_slow
    other = RawCaller(gateway.address)
    await other.async_setup()
    await caller.async_send("POST", "/desk/bookings", headers=KEY, body=b"order")
    await target.arrived.wait()
    await other.async_send("POST", "/desk/bookings", headers=KEY, body=b"order")
    release.set()
    first = await caller.async_read()
    second = await other.async_read()
    assert (first.result, second.result) == (100, 101)
    assert (first.body, second.body) == (b"booked", b"booked")
    assert len(target.seen) == 1
    await other.async_unload()


async def test_caller_that_leaves_finds_its_answer_later(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """Symptom: every resend of a booking gets "unknown" though it ran.

    The caller loses patience while the booking runs and sends it again. Cancelled at
    the first caller's leaving, nobody would see the target's answer.
    """
    release = asyncio.Event()

    async def async_slow(connection: ScriptedConnection, request: SeenRequest) -> None:
        await release.wait()
        await connection.async_answer(b"booked")

    target.script = async_slow
    await caller.async_send("POST", "/desk/bookings", headers=KEY, body=b"order")
    await target.arrived.wait()
    await caller.async_unload()
    await gateway.handler.async_wait_idle()
    release.set()
    again = RawCaller(gateway.address)
    await again.async_setup()
    answer = await async_book(again)
    assert (answer.result, answer.body) == (ResultCode.REPLAYED, b"booked")
    assert len(target.seen) == 1
    await again.async_unload()


async def test_late_answer_is_not_written_to_the_next_request(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: a caller's next request receives a booking's late answer.

    The booking's deadline passes and its caller is told so, while the run goes on to
    record the outcome. Its answer must not go to the caller's connection then.
    """
    release = asyncio.Event()

    async def async_slow(connection: ScriptedConnection, request: SeenRequest) -> None:
        if request.method == "POST":
            await release.wait()
        await connection.async_answer(request.method.encode())

    target.script = async_slow
    late = await async_book(caller, headers="Swiftpin-Timeout: 100\r\n")
    assert late.result == ResultCode.DEADLINE_EXCEEDED
    release.set()
    assert (await caller.async_call()).body == b"GET"
    assert (await async_book(caller)).body == b"POST"


async def test_refused_resend_is_not_called_not_run(
    caller: RawCaller,
    target: ScriptedServer,
    gateway: GatewayFixture,
    ownership: FakeOwnership,
) -> None:
    """Symptom: a caller is told "not run" of a booking that did run.

    Its first send ran and the answer was lost on the way. The resend enters while
    nobody holds the group, so nobody can look at the record.
    """
    await async_book(caller)
    gateway.groups.group_lost(GROUP)
    answer = await async_book(caller)
    assert (answer.status, answer.result) == (503, ResultCode.ATTEMPT_NOT_RUN)
    assert answer.error["executed"] == "unknown"
    ownership.routes.clear()
    answer = await async_book(caller)
    assert answer.result == ResultCode.ATTEMPT_NOT_RUN
    ownership.routes.append(local_route(target.address))


async def test_store_outage_refuses_and_offers_a_ticket(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """While the store is away a booking runs under a ticket, once."""
    gateway.store.down = True
    refused = await async_book(caller, headers="Swiftpin-Timeout: 4000\r\n")
    assert refused.result == ResultCode.STORE_UNAVAILABLE
    ticket = refused.headers_by_name["swiftpin-ticket"]
    first = await async_book(caller, headers=f"Swiftpin-Ticket: {ticket}\r\n")
    second = await async_book(caller, headers=f"Swiftpin-Ticket: {ticket}\r\n")
    assert (first.result, second.result) == (100, 101)
    assert len(target.seen) == 1


async def test_records_that_are_not_read_yet_are_waited_for(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """Symptom: bookings fail as "unknown" at each change of a holder.

    A new holder takes some milliseconds to read the records of the last one. A
    booking that comes in between is tried again; while the store stays away it
    is told that this attempt was not run.
    """
    journal = gateway.groups.journal(GROUP)
    assert journal is not None
    journal._loaded = False
    answer = await async_book(caller)
    assert (answer.status, answer.result) == (503, ResultCode.ATTEMPT_NOT_RUN)
    assert answer.error["executed"] == "unknown"
    await caller.async_send("POST", "/desk/bookings", headers=KEY, body=b"order")
    while not gateway.handler.in_flight:  # noqa: ASYNC110 - nothing tells of a begin
        await asyncio.sleep(0)
    journal._loaded = True
    assert (await caller.async_read()).result == ResultCode.ANSWERED
    assert len(target.seen) == 1
