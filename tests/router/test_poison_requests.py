"""Tests of fleets with requests that end each target that runs them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest

from tests.router.cut_links import CutKind
from tests.router.cut_site import CutOptions
from tests.router.poison_site import (
    MAX_LATE_SENDS,
    MAX_TARGETS_ENDED,
    Ends,
    PoisonRequest,
    PoisonSite,
)
from tests.router.poison_target import EndKind

RESEND_TIME = 8.0
LONG_BODY = b"x" * 200_000
RESET = Ends()
SILENT = Ends(kind=EndKind.SILENT)


@dataclass(frozen=True, kw_only=True)
class Case:
    """How targets end under a request, and how it reaches them."""

    ends: Ends = RESET
    request: PoisonRequest
    uses_relays: bool = False
    loses_holder: bool = False


CASES = {
    "reset": Case(request=PoisonRequest(key=None)),
    "silent": Case(ends=SILENT, request=PoisonRequest(key=None)),
    "silent-short-deadline": Case(
        ends=SILENT, request=PoisonRequest(key=None, deadline=0.15)
    ),
    "silent-new-life": Case(
        ends=Ends(kind=EndKind.SILENT, back_after=1.0), request=PoisonRequest(key=None)
    ),
    "new-life": Case(ends=Ends(back_after=0.5), request=PoisonRequest()),
    "new-life-unkeyed": Case(
        ends=Ends(back_after=0.5), request=PoisonRequest(key=None)
    ),
    "copies-at-once": Case(request=PoisonRequest(key=None, callers=4)),
    "slow-end": Case(
        ends=Ends(delay=0.4), request=PoisonRequest(key=None, callers=4, interval=0.2)
    ),
    "caller-leaves": Case(
        ends=Ends(delay=0.3), request=PoisonRequest(key=None, leaves_after=0.15)
    ),
    "long-body": Case(
        ends=Ends(back_after=0.5), request=PoisonRequest(method="POST", body=LONG_BODY)
    ),
    "through-relays": Case(request=PoisonRequest(key=None), uses_relays=True),
    "lost-holder": Case(
        ends=Ends(back_after=0.5), request=PoisonRequest(), loses_holder=True
    ),
}


LONG_CASES = {
    "long": Case(
        ends=Ends(back_after=1.5), request=PoisonRequest(method="POST", body=LONG_BODY)
    )
}


@pytest.fixture(name="case")
def case_fixture(request: pytest.FixtureRequest) -> Case:
    """Return the case of a test."""
    return (CASES | LONG_CASES)[request.param]


@pytest.fixture(name="site")
async def site_fixture(
    monkeypatch: pytest.MonkeyPatch, case: Case
) -> AsyncIterator[PoisonSite]:
    """Return a fleet of four instances with callers."""
    options = CutOptions(instances=4, targets=8, rate=60.0)
    site = PoisonSite(monkeypatch, options, case.ends, unkeyed=8)
    try:
        await site.async_setup_fleet()
        yield site
    finally:
        await site.async_unload()


async def _async_lose_holder(site: PoisonSite, path: str) -> None:
    """Stop the lease holder when a request has ended two targets."""
    await site.async_wait(lambda: len(site.ended_by(path)) >= MAX_TARGETS_ENDED - 1)
    await site.async_remove_router(site.leader())


@pytest.mark.parametrize("case", CASES, indirect=True)
async def test_request_ends_three_targets_at_most(site: PoisonSite, case: Case) -> None:
    """Guards against requests that end one target after the other."""
    await site.async_play(1.0)
    via = None
    if case.uses_relays:
        via = ["i0", "i1"]
        for name in via:
            site.cuts.cut(name, CutKind.RESET)
    tasks = [asyncio.create_task(site.async_resend(case.request, RESEND_TIME, via))]
    if case.loses_holder:
        lost = asyncio.create_task(_async_lose_holder(site, case.request.path))
        tasks.append(lost)
    await site.async_play(RESEND_TIME)
    await asyncio.gather(*tasks)
    await site.async_settle()
    assert len(site.ended_by(case.request.path)) <= MAX_TARGETS_ENDED
    assert len(site.late_sends(case.request.path)) <= MAX_LATE_SENDS
    assert not site.sound_refused
    assert not site.untrue_rejections()
    assert not site.repeated_once_only()


@pytest.mark.parametrize("case", LONG_CASES, indirect=True)
async def test_long_request_is_recognised_again(site: PoisonSite, case: Case) -> None:
    """Guards against fingerprints that change while a streamed body is sent."""
    await asyncio.gather(
        site.async_play(RESEND_TIME), site.async_resend(case.request, RESEND_TIME)
    )
    await site.async_settle()
    assert site.record.refused
