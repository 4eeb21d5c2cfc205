"""Tests of fleets whose targets state that they leave or want a pause."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.router.cut_site import CutOptions
from tests.router.notice_site import NoticeSite

MAX_REQUESTS_IN_BACKOFF = 2
"""Requests that may reach a target within a back-off period that it asked for."""


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
