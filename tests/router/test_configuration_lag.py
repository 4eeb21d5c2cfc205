"""Tests of instances whose configuration is older than an announced version."""

from __future__ import annotations

import asyncio

import pytest

from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.router.configuration_lag import MAX_NOTIFICATION_DELAY, ConfigurationLag
from tests.router.site import BOUNDS, ROUTES, Site, configuration, route

LIMIT = BOUNDS.apply_limit - MAX_NOTIFICATION_DELAY


@pytest.fixture(name="lag")
def lag_fixture() -> ConfigurationLag:
    """Return the lag of an instance whose active version is 5."""
    lag = ConfigurationLag()
    lag.set_apply_limit(BOUNDS.apply_limit)
    lag.record_adopted(5)
    return lag


def test_known_version_does_not_make_an_instance_outdated(
    lag: ConfigurationLag,
) -> None:
    """Announcements of the same or an older version have no effect."""
    lag.record_announced(5, in_force=5, now=10.0)
    lag.record_announced(4, in_force=5, now=10.0)
    assert not lag.is_outdated(1_000.0)


def test_limit_starts_with_the_oldest_announcement(lag: ConfigurationLag) -> None:
    """Guards against a limit that each further announcement postpones."""
    for step in range(10):
        lag.record_announced(6 + step, in_force=5, now=10.0 + step * LIMIT / 5)
    assert not lag.is_outdated(10.0 + LIMIT)
    assert lag.is_outdated(10.0 + LIMIT + 0.01)
    lag.record_adopted(7)
    assert not lag.is_outdated(10.0 + LIMIT * 7 / 5)
    assert lag.is_outdated(10.0 + LIMIT * 7 / 5 + 0.01)


def test_adopted_version_ends_the_lag(lag: ConfigurationLag) -> None:
    """An instance that has caught up serves requests again."""
    lag.record_announced(6, in_force=5, now=10.0)
    lag.record_adopted(6)
    assert not lag.is_outdated(1_000.0)


def test_nothing_is_refused_without_a_source_of_the_newer_version(
    lag: ConfigurationLag,
) -> None:
    """Guards against a fleet that refuses all requests during a store outage."""
    lag.record_announced(6, in_force=5, now=10.0)
    assert lag.is_refusing(10.0 + BOUNDS.apply_limit)
    lag.has_source = False
    assert not lag.is_refusing(10.0 + BOUNDS.apply_limit)
    assert lag.is_outdated(10.0 + BOUNDS.apply_limit)


async def test_unknown_route_gets_503_without_a_source_of_the_newer_version(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a final 404 for a new route that only a lost instance knew."""
    monkeypatch.setattr(ConfigurationLag, "is_refusing", lambda self, now: False)
    lag = site.routers_by_name["i1"]._configuration.lag
    lag.record_announced(2, in_force=1, now=suspend_aware_now() - BOUNDS.apply_limit)
    assert (await site.async_call("/added/x", via="i1")).status == 503
    assert (await site.async_call("/read/x", via="i1")).status == 200


async def test_route_of_a_newer_configuration_gets_503(site: Site) -> None:
    """Guards against a final 404 for a route already active at another instance."""
    outdated = site.routers_by_name["i1"]._configuration
    outdated.adopt_changes = lambda *args, **kwargs: None  # type: ignore[method-assign]
    outdated.adopt_packed = lambda *args: None  # type: ignore[method-assign]
    added = route("/added/", "safe")
    site.store.put("config", "main", configuration(2, [*ROUTES, added]))
    updated = site.routers_by_name["i0"]._configuration
    await site.async_wait(lambda: updated.version == 2)
    await asyncio.sleep(LIMIT + 1.0)
    assert (await site.async_call("/added/x", via="i0")).status == 200
    for path in ("/added/x", "/read/x"):
        reply = await site.async_call(path, via="i1")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
