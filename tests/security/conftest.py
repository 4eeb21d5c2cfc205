"""Fixtures shared by the security tests."""

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
    """Return certificates of the trusted CA."""
    return Certificates(tmp_path / "own")


@pytest.fixture
def other(tmp_path: Path) -> Certificates:
    """Return certificates of an untrusted CA."""
    return Certificates(tmp_path / "other")


@pytest.fixture
def messages() -> Iterator[Messages]:
    """Return the log messages written during the test."""
    logged: Messages = []
    add_destinations(logged.append)
    # eliot first delivers messages logged before a destination existed.
    logged.clear()
    yield logged
    remove_destination(logged.append)


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return a client session."""
    async with ClientSession() as client_session:
        yield client_session
