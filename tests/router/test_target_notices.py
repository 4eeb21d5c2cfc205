"""Tests of fleets whose targets state that they leave or want a pause."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from swiftpin.helpers.clock import suspend_aware_now
from tests.router.cut_links import CutKind
from tests.router.cut_site import CutOptions
from tests.router.notice_site import NoticeSite
from tests.router.notice_target import Load
from tests.router.site import BOUNDS

MAX_REQUESTS_IN_BACKOFF = 2
"""Requests that may reach a target within a back-off period that it asked for."""

MAX_REJECTION_TIME = 0.2
"""Seconds for a rejection that waits for nothing."""


@pytest.fixture(name="site")
async def site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[NoticeSite]:
    """Return a fleet of three instances with callers."""
    site = NoticeSite(monkeypatch, CutOptions(instances=3, targets=6, rate=80.0))
    try:
        await site.async_setup_fleet()
        yield site
    finally:
        await site.async_unload()


async def async_leave(site: NoticeSite) -> None:
    """Let two targets leave while the store tells nobody."""
    site.store.is_silent = True
    for name in ("t0", "v0"):
        site.target(name).is_leaving = True
    await site.async_play(5.0)


async def async_reject(site: NoticeSite) -> None:
    """Let two targets reject all requests and ask for a pause."""
    for name in ("t0", "v0"):
        site.target(name).load.reject_share = 1.0
    await site.async_play(5.0)


@pytest.mark.parametrize("statement", ["drain", "backoff"])
async def test_targets_get_no_requests_that_their_answers_ruled_out(
    site: NoticeSite, statement: str
) -> None:
    """Guards against statements in answers that no instance acts on."""
    await site.async_play(1.0)
    await (async_leave if statement == "drain" else async_reject)(site)
    await site.async_settle()
    assert not site.late_sends()
    requests = [backoff.requests for backoff in site.backoffs()]
    assert max(requests, default=0) <= MAX_REQUESTS_IN_BACKOFF
    assert not site.repeated_once_only()
    assert not site.untrue_rejections()


async def test_keys_of_a_leaving_target_move_before_its_entry_says_so(
    site: NoticeSite,
) -> None:
    """Guards against a holder that learns from the store only, or its own requests."""
    callers = sorted({"i0", "i1", "i2"} - {site.leader()})
    target = site.target("t0")
    target.is_leaving = True
    for number in range(60):
        key = number * 1000
        await site.async_call("/read/x", via=callers[number % 2], key=key)
    await site.async_wait(lambda: not site.is_owner("t0"))
    site.store.put("servers", "t0", target.entry("desk"))
    await site.async_play(1.0)
    await site.async_settle()
    assert not site.is_owner("t0")
    assert all(attempt.is_served for attempt in site.attempts)


async def test_other_targets_without_keys_serve_when_one_leaves(
    site: NoticeSite,
) -> None:
    """Guards against requests without a key that wait for a target that leaves."""
    site.store.is_silent = True
    site.target("v0").is_leaving = True
    for _ in range(3):
        await asyncio.gather(
            *(site.async_call("/files/x", key=None) for _ in range(20))
        )
        await asyncio.sleep(1.0)
    arrivals = len(site.target("v0").record.arrivals)
    replies = await asyncio.gather(
        *(site.async_call("/files/x", key=None) for _ in range(20))
    )
    assert all(reply.status == 200 for reply in replies)
    assert len(site.target("v0").record.arrivals) == arrivals


async def test_callers_are_rejected_at_once_while_keys_can_not_move(
    site: NoticeSite,
) -> None:
    """Guards against callers that wait for an owner that a silent store rules out."""
    key = site.key_of("t0")
    site.store.is_silent = True
    site.target("t0").is_leaving = True
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(site.async_call("/read/x", key=key) for _ in range(3)))
    await asyncio.sleep(BOUNDS.drain_limit)
    began_at = loop.time()
    reply = await site.async_call("/book/x", key=key, method="POST")
    assert loop.time() - began_at < MAX_REJECTION_TIME
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert not site.count_runs(reply.headers["id"])


async def test_spoilt_answer_takes_a_target_from_nobody(site: NoticeSite) -> None:
    """Guards against one spoilt answer that takes a sound target from all for good."""
    for name in ("t0", "v0"):
        site.target(name).spoilt_answers = 1
    await site.async_play(4.0)
    await site.async_settle()
    assert site.is_owner("t0")
    for router in site.routers_by_name.values():
        assert not router._directory.announced_drains.count()
        assert router._directory.may_send("t0", suspend_aware_now())
    late_runs = site.target("v0").record.arrivals
    assert late_runs[-1].at > asyncio.get_running_loop().time() - 2.0


async def test_relay_and_sender_both_keep_to_an_announcement(site: NoticeSite) -> None:
    """Guards against requests that reach a leaving target on the way round a cut."""
    cut = min({"i0", "i1", "i2"} - {site.leader()})
    site.cuts.cut(cut, CutKind.RESET)
    await site.async_play(2.0)
    await async_leave(site)
    await site.async_settle()
    assert sum(it._relay_handler.relayed for it in site.routers_by_name.values())
    assert not site.late_sends()


@pytest.mark.parametrize(
    ("wait", "deadline"), [(0.02, 2000), (1.0, 60)], ids=["caller-left", "time-over"]
)
async def test_rejection_counts_although_nobody_awaits_it(
    site: NoticeSite, wait: float, deadline: int
) -> None:
    """Guards against requests in a pause that was asked for too late for a caller."""
    key = site.key_of("t0")
    await site.async_call("/read/x", key=key)
    site.target("t0").load = Load(reject_share=1.0, delay=0.07)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait):
            await site.async_call("/read/x", key=key, deadline=deadline)
    await asyncio.sleep(0.2)
    backoffs = site.routers_by_name["i0"]._notices.backoffs
    assert backoffs.remaining("t0", suspend_aware_now())


async def test_backoff_spends_neither_attempts_nor_permits(site: NoticeSite) -> None:
    """Guards against callers and other instances that pay for a target's pause."""
    key = site.key_of("t0")
    target = site.target("t0")
    target.load = Load(reject_share=1.0)
    await site.async_call("/read/x", key=key)
    began_at = asyncio.get_running_loop().time()
    replies = [await site.async_call("/read/x", key=key) for _ in range(5)]
    elapsed = asyncio.get_running_loop().time() - began_at
    arrivals = [it for it in target.record.arrivals if it.instance == "i0"]
    assert len(arrivals) == 1
    assert all(reply.status == 503 for reply in replies)
    assert elapsed < 5 * MAX_REJECTION_TIME
    budget = site.routers_by_name["i0"]._sender.retries._budget_for("desk")
    assert not budget._earned_reserved + budget._slack_reserved
    assert not site.outstanding_permits()


async def test_other_instances_and_targets_serve_what_one_must_not_send(
    site: NoticeSite,
) -> None:
    """Guards against a pause for one instance that others keep, too."""
    key = site.key_of("t0")
    for name in ("t0", "v0"):
        site.target(name).load = Load(reject_share=1.0)
    await asyncio.gather(
        site.async_call("/read/x", key=key),
        *(site.async_call("/files/x", key=None) for _ in range(8)),
    )
    for name in ("t0", "v0"):
        site.target(name).load = Load()
    assert (await site.async_call("/read/x", key=key, via="i1")).status == 200
    replies = await asyncio.gather(
        *(site.async_call("/files/x", key=None) for _ in range(20))
    )
    assert all(reply.status == 200 for reply in replies)
    assert not site.outstanding_permits()


async def test_callers_of_a_service_that_rejects_all_are_told_when_to_return(
    site: NoticeSite,
) -> None:
    """Guards against callers that wait, or return at once, for nothing."""
    for name in ("v0", "v1"):
        site.target(name).load = Load(reject_share=1.0, retry_after=5.0)
    await asyncio.gather(*(site.async_call("/files/x", key=None) for _ in range(10)))
    began_at = asyncio.get_running_loop().time()
    reply = await site.async_call("/files/x", key=None)
    assert asyncio.get_running_loop().time() - began_at < MAX_REJECTION_TIME
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 3.0
    assert not site.count_runs(reply.headers["id"])


@pytest.mark.parametrize("is_cut_one", [True, False], ids=["sender", "relay"])
async def test_relay_is_no_way_round_a_backoff(
    site: NoticeSite, *, is_cut_one: bool
) -> None:
    """Guards against a pause that an instance evades by sending through another one."""
    cut, *others = [*sorted({"i0", "i1", "i2"} - {site.leader()}), site.leader()]
    site.cuts.cut(cut, CutKind.RESET)
    key = site.key_of("t0")
    for _ in range(4):
        await site.async_call("/read/x", key=key, via=cut)
    target = site.target("t0")
    target.load = Load(reject_share=1.0)
    first = [cut] if is_cut_one else others
    await asyncio.gather(
        *(site.async_call("/read/x", key=key, via=name) for name in first)
    )
    target.load = Load()
    arrivals = len(target.record.arrivals)
    for _ in range(3):
        await site.async_call("/read/x", key=key, via=cut)
    assert len(target.record.arrivals) == arrivals
