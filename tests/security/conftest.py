"""Fixtures that the tests of security share."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

from aiohttp import ClientSession
from eliot import add_destinations, remove_destination
import pytest

from tests.gateway.conftest import (  # noqa: F401 - fixtures
    caller,
    catalog,
    gateway,
    ownership,
    target,
)
from tests.security.certificates import Certificates

Messages = list[dict[str, object]]


@pytest.fixture
def own(tmp_path: Path) -> Certificates:
    """Return certificates of the right CA."""
    return Certificates(tmp_path / "own")


@pytest.fixture
def other(tmp_path: Path) -> Certificates:
    """Return certificates of a CA that nobody trusts."""
    return Certificates(tmp_path / "other")


@pytest.fixture
def messages() -> Iterator[Messages]:
    """Return what is logged."""
    seen: Messages = []
    add_destinations(seen.append)
    # What was logged while nobody listened comes first.
    seen.clear()
    yield seen
    remove_destination(seen.append)


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return a client session."""
    async with ClientSession() as opened:
        yield opened
