"""Tests of the path by which a request's route is selected."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final
from urllib.parse import quote_from_bytes

from hypothesis import given
from hypothesis import strategies as st
import pytest

from swiftpin.helpers.time_slices import run_to_completion
from swiftpin.model.configuration import Configuration
from swiftpin.platform.configuration import decode_configuration
from swiftpin.router.route_path import route_path
from tests.router.site import HOST, Site, configuration, route

NESTED_ROUTES: Final = [
    route("/orders/", "unsafe"),
    route("/orders/report/", "safe", "vault"),
    route("/orders/a%2Fb/", "safe", "vault"),
]
PREFIXES: Final = [it["path_prefix"] for it in NESTED_ROUTES]

PIECES: Final = (
    *("/", "orders", "report", "7", "a%2Fb", "%2F", "%2f", "%72eport", "%", "%zz"),
    *("%00", ".", "..", "%2E", ";", ":", "://", "@", "#", "+", "?", "&", "é", "\udcff"),
)

pieces = st.sampled_from(PIECES) | st.binary(min_size=1, max_size=3).map(
    quote_from_bytes
)
targets = st.tuples(
    st.sampled_from(["", "/orders/", "/orders/report", "/orders/a%2Fb", "//"]),
    st.lists(pieces, max_size=6).map("".join),
).map("".join)


def decode(routes: list[dict[str, object]]) -> Configuration:
    """Return a decoded configuration with some routes."""
    return run_to_completion(decode_configuration(configuration(1, routes)))


CONFIGURATION: Final = decode(NESTED_ROUTES)


@given(targets.filter(lambda it: it.startswith("/")))
def test_bytes_of_a_path_select_its_route(target: str) -> None:
    """Guards against a route that is selected by another path than the one sent."""
    path = target.split("?")[0]
    prefix = max((it for it in PREFIXES if path.startswith(it)), key=len, default=None)
    found = CONFIGURATION.find_route(HOST, route_path(target))
    assert (found and found.prefix) == prefix


@given(targets)
def test_a_whole_url_selects_the_same_route(target: str) -> None:
    """Guards against a URL whose scheme or host is taken for its path."""
    if target.startswith("/"):
        assert route_path(f"http://{HOST}:80{target}") == route_path(target)


@pytest.mark.parametrize("target", ["*", "", "?", "host:80", "http://host"])
def test_target_without_a_path_selects_no_route(target: str) -> None:
    """Guards against an error for a request that names no path."""
    assert CONFIGURATION.find_route(HOST, route_path(target)) is None


@pytest.fixture(name="nested_site")
async def nested_site_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Site]:
    """Return a running site with a safe route below an unsafe one."""
    site = Site(monkeypatch)
    site.routes = NESTED_ROUTES
    try:
        await site.async_setup(targets=1, routers=1)
        yield site
    finally:
        await site.async_unload()


async def async_send(site: Site, path: str) -> str:
    """Send a request with a path as it is; return its id."""
    address = site.settings_by_name["i0"].caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    request_id = site.next_request_id()
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nSwiftpin-Request-Id: {request_id}\r\n"
        "Swiftpin-Deadline-Milliseconds: 2000\r\nSwiftpin-Shard-Key: 1\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 200")
    return request_id


@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/orders/report/7", "vault"),
        ("/orders/report%2F7", "desk"),
        ("/orders/%72eport/7", "desk"),
        ("/orders/7?to=/orders/report/", "desk"),
        ("/orders/a%2Fb/7", "vault"),
        ("/orders/a/b/7", "desk"),
        (f"http://{HOST}/orders/report/7", "vault"),
    ],
)
async def test_request_runs_at_the_service_of_its_route(
    nested_site: Site, path: str, service: str
) -> None:
    """Guards against an unsafe request that is repeated as a safe one (review/5)."""
    request_id = await async_send(nested_site, path)
    targets = {"desk": ["t0"], "vault": ["v0"]}
    ran = [
        name
        for name, target in nested_site.targets_by_name.items()
        if request_id in target.runs
    ]
    assert ran == targets[service]
