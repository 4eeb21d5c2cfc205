"""Shared fixtures of the router's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.router.site import Site


@pytest.fixture(name="site")
async def site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Site]:
    """Return a running site with two instances, three keyed and one unkeyed target."""
    site = Site(monkeypatch)
    try:
        await site.async_setup()
        yield site
    finally:
        await site.async_unload()
