"""Tests of requests that one instance passes on for another."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.permits.rate_report import RateReport
from swiftpin.relays import relay_client
from swiftpin.relays.relay_terms import HEADER_RELAY_TARGET, RelayResult
from swiftpin.router import relay_handler
from tests.router.cut_links import CutKind
from tests.router.cut_site import CutOptions, CutSite
from tests.router.site import BOUNDS, HOST, MAX_WAIT, Reply

LOST_AFTER = 1.2
"""Seconds after which two connection attempts have failed."""

BODY = bytes(300_000)


@pytest.fixture(name="site")
async def site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[CutSite]:
    """Return two instances of which `i0` is cut off from all targets."""
    site = CutSite(monkeypatch, CutOptions(instances=2, targets=2))
    try:
        await site.async_setup_fleet()
        if site.leader() == "i0":
            await site.routers_by_name["i0"]._lease.async_give_up()
            await site.async_wait(lambda: site.leader() == "i1")
        site.cuts.cut("i0", CutKind.HANG)
        await asyncio.gather(*(site.async_call("/read/x", key=1) for _ in range(3)))
        yield site
    finally:
        await site.async_unload()


async def async_book(site: CutSite, body: bytes = b"") -> Reply:
    """Send a request that must not run twice to the instance that is cut off."""
    return await site.async_call("/book/x", method="POST", body=body)


@pytest.mark.parametrize("body", [b"short", BODY], ids=["short", "streamed"])
async def test_request_and_answer_are_passed_on_unchanged(
    site: CutSite, body: bytes
) -> None:
    """Guards against changes of id, body, signature or framing on the way."""
    reply = await async_book(site, body)
    request_id = reply.headers["id"]
    assert reply.status == 200
    assert reply.body == b"%s:%s" % (request_id.encode(), body)
    assert reply.headers["Swiftpin-Upstream-Signature"] == f"signed-{request_id}"
    assert not any(name.startswith("Swiftpin-Relay") for name in reply.headers)
    assert site.count_runs(request_id) == 1


async def test_relayed_request_has_no_more_time_than_the_caller_gave(
    site: CutSite,
) -> None:
    """Guards against a deadline that starts anew at the relay."""
    reply = await site.async_call("/read/x", deadline=700)
    assert reply.status == 200
    deadlines = [
        deadline
        for target in site.targets_by_name.values()
        for request_id, deadline in zip(target.runs, target.deadlines, strict=True)
        if request_id == reply.headers["id"]
    ]
    assert deadlines
    assert max(deadlines) <= 700


async def test_relay_does_not_send_to_a_target_that_has_left(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests after the drain time that another instance knows."""
    directory = site.routers_by_name["i1"]._directory
    monkeypatch.setattr(directory, "may_send", lambda target, now: False)
    reply = await async_book(site)
    assert reply.status == 503
    assert site.count_runs(reply.headers["id"]) == 0


async def test_relay_keeps_to_a_rate_limit_that_the_permit_ignored(
    site: CutSite,
) -> None:
    """Guards against permits that were granted without the limit."""
    now = suspend_aware_now()
    report = RateReport(limit=1.0, sent_at=now, received_at=now)
    reports = site.routers_by_name["i1"]._permits.rate_reports
    for target in ("t0", "t1"):
        reports.add(target, report, now, source="answer")
    reply = await async_book(site)
    assert reply.status == 503
    assert site.count_runs(reply.headers["id"]) == 0


async def test_relay_without_room_refuses(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a helper whose own callers find no room."""
    monkeypatch.setattr(relay_handler, "MAX_RELAYED_REQUESTS", 0)
    reply = await async_book(site)
    assert reply.status == 503
    assert site.count_runs(reply.headers["id"]) == 0


async def test_relay_passes_nothing_on_to_another_relay(site: CutSite) -> None:
    """Guards against requests that go round in a circle."""
    site.cuts.cut("i1", CutKind.RESET)
    reply = await async_book(site)
    assert reply.status == 503
    assert site.count_runs(reply.headers["id"]) == 0
    assert not site.routers_by_name["i0"]._relay_handler.relayed


async def test_broken_answer_behind_a_relay_is_not_called_not_run(
    site: CutSite,
) -> None:
    """Guards against a second run of a request whose answer was lost."""
    for target in site.targets_by_name.values():
        target.answers_to_break = 1
    reply = await async_book(site)
    assert reply.status == 502
    assert site.count_runs(reply.headers["id"]) == 1


async def test_lost_relay_is_not_called_not_run(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run when the answer is lost between instances."""
    monkeypatch.setattr(relay_client, "decode_relay_result", lambda headers: None)
    reply = await async_book(site)
    assert reply.status == 502
    assert site.count_runs(reply.headers["id"]) == 1


async def test_caller_that_leaves_is_felt_at_the_target(site: CutSite) -> None:
    """Guards against work for callers that are gone."""
    for target in site.targets_by_name.values():
        target.work = 5.0
    call = asyncio.create_task(site.async_call("/slow/x", deadline=8000))
    await site.async_wait(lambda: any(t.running for t in site.targets_by_name.values()))
    call.cancel()
    relayed = site.routers_by_name["i1"]._relay_handler
    async with asyncio.timeout(0.5):
        while relayed.in_flight:  # noqa: ASYNC110  # no event marks the end
            await asyncio.sleep(0.01)


async def test_direct_way_is_taken_again_after_the_cut(site: CutSite) -> None:
    """Guards against requests that take the longer way for ever."""
    site.cuts.heal("i0")
    await asyncio.sleep(1.0)
    relayed = site.routers_by_name["i1"]._relay_handler.relayed
    replies = [await site.async_call("/read/x", key=1) for _ in range(5)]
    assert {reply.status for reply in replies} == {200}
    assert site.routers_by_name["i1"]._relay_handler.relayed == relayed


async def test_relayed_request_is_counted_at_the_instance_that_got_it_only(
    site: CutSite,
) -> None:
    """Guards against requests that earn retries twice, and permits that stay out."""
    budgets = [
        router._sender.retries._budgets_by_service["desk"]
        for _, router in sorted(site.routers_by_name.items())
    ]
    before = [budget._requests for budget in budgets]
    for _ in range(5):
        assert (await async_book(site)).status == 200
    counted = [budget._requests for budget in budgets]
    assert counted == [before[0] + 5, before[1]]
    await site.async_wait(
        lambda: (
            not any(
                queue._target_by_request
                for router in site.routers_by_name.values()
                for queue in router._permits._local_issuer._queues_by_service.values()
            )
        )
    )


async def test_failure_that_no_other_instance_confirms_counts_against_no_target(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one instance's links that slow a target down for all."""
    monkeypatch.setattr(relay_handler, "MAX_RELAYED_REQUESTS", 0)
    exchange = site.routers_by_name["i0"]._sender._exchange
    exchange.load.failures_by_target.clear()
    assert (await async_book(site)).status == 503
    assert not exchange.load.failures_by_target


async def test_relay_whose_own_link_is_lost_refuses_at_once(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait for one connection timeout after the other."""
    site.cuts.cut("i1", CutKind.HANG)
    tried: list[object] = []
    client = site.routers_by_name["i1"]._clients.targets
    monkeypatch.setattr(client, "async_exchange", lambda *args, **_: tried.append(args))
    links = site.routers_by_name["i1"]._target_links
    for target in ("t0", "t1"):
        for _ in range(2):
            links.record_failure(target, "timeout", suspend_aware_now())
        links.record_silence(target, suspend_aware_now())
    assert (await async_book(site)).status == 503
    assert not tried


async def test_send_that_is_not_allowed_here_is_not_blamed_on_the_relay(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against relays that are left out although nobody asked them."""
    directory = site.routers_by_name["i0"]._directory
    monkeypatch.setattr(directory, "may_send", lambda target, now: False)
    monkeypatch.setattr(
        site.routers_by_name["i0"]._sender._owners, "_can_send", lambda *args: True
    )
    assert (await async_book(site)).status == 503
    relays = site.routers_by_name["i0"]._relays
    assert not relays._avoided_until_by_address


async def test_time_of_a_relayed_request_is_bounded(
    site: CutSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests whose bodies never come and which hold a relay."""
    monkeypatch.setattr(relay_handler, "MIN_TIME_LIMIT", 0.1)
    relay = site.routers_by_name["i1"]
    address = site.settings_by_name["i1"].relay_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{HEADER_RELAY_TARGET}: {next(iter(relay._directory.targets_by_id))}\r\n"
        "Swiftpin-Deadline-Milliseconds: 1e12\r\nContent-Length: 1000\r\n\r\n".encode()
    )
    answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    async with asyncio.timeout(MAX_WAIT):
        while not answer.done():
            writer.write(b"a")
            await asyncio.sleep(0.1)
    assert RelayResult.NOT_ALLOWED in answer.result().decode()
    writer.close()


async def test_request_through_a_relay_that_stops_gets_a_true_answer(
    site: CutSite,
) -> None:
    """Guards against a caller who hears nothing when a relay ends under a request."""
    for target in site.targets_by_name.values():
        target.work = 2 * BOUNDS.shutdown_grace
    call = asyncio.create_task(
        site.async_call("/slow/x", method="POST", deadline=9000, request_id="cut")
    )
    await site.async_wait(lambda: site.count_runs("cut") == 1)
    await site.routers_by_name["i1"].async_stop()
    await site.async_remove_router("i1")
    reply = await call
    assert reply.status == 502
    assert b"ANSWER_LOST" in reply.body
