"""Tests of the seeded sequence of requests."""

from __future__ import annotations

from collections import Counter

import pytest

from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.request_factory import RequestFactory
from swiftpin.bench.load.request_kind import RequestKind

LOOKUP = LoadClass(
    name="lookup", kind=RequestKind.LOOKUP, service="desk", path="items", share=3
)
BOOKING = LoadClass(
    name="booking", kind=RequestKind.BOOKING, service="desk", path="orders", share=1
)
DOWNLOAD = LoadClass(
    name="download",
    kind=RequestKind.DOWNLOAD,
    service="vault",
    path="bundle/1000",
    share=1,
    keyed=False,
)


def load_spec(*classes: LoadClass, seed: int = 1) -> LoadSpec:
    """Return a load of the classes over 100 keys and 2 workers."""
    return LoadSpec(
        entries=("127.0.0.1:1",),
        classes=classes,
        mode=OpenLoop(rate=10),
        duration=1.0,
        keys=100,
        seed=seed,
    )


def make(load: LoadSpec, index: int, count: int) -> list[LoadRequest]:
    """Return the first requests of a worker."""
    factory = RequestFactory(load, index)
    return [factory.make(0.0) for _ in range(count)]


def test_sequence_follows_from_seed() -> None:
    """The same seed gives the same requests, another seed others."""
    load = load_spec(LOOKUP, BOOKING)
    assert make(load, 0, 50) == make(load, 0, 50)
    assert make(load, 0, 50) != make(load_spec(LOOKUP, BOOKING, seed=2), 0, 50)


def test_classes_come_by_their_shares() -> None:
    """Three lookups come for one booking."""
    requests = make(load_spec(LOOKUP, BOOKING), 0, 4000)
    counts = Counter(item.load_class.name for item in requests)
    assert counts["lookup"] == pytest.approx(3000, rel=0.05)


def test_bookings_have_keys_of_their_own() -> None:
    """No two bookings of a run share an idempotency key or a body."""
    load = load_spec(BOOKING)
    requests = make(load, 0, 100) + make(load, 1, 100)
    assert len({item.idempotency_key for item in requests}) == 200
    assert len({item.body for item in requests}) == 200
    assert {len(item.body) for item in requests} == {BOOKING.body_bytes}


def test_lookups_have_no_idempotency_key() -> None:
    """Only bookings carry one."""
    requests = make(load_spec(LOOKUP), 0, 10)
    assert {item.idempotency_key for item in requests} == {None}


def test_services_without_keys_get_none() -> None:
    """A download from the vault carries no key."""
    requests = make(load_spec(DOWNLOAD), 0, 10)
    assert {item.key for item in requests} == {None}


def test_workers_share_out_the_keys() -> None:
    """No key is asked for by two workers, and the shares add up."""
    load = load_spec(LOOKUP)
    first = {item.key for item in make(load, 0, 2000)}
    second = {item.key for item in make(load, 1, 2000)}
    assert first & second == set()
    shares = [RequestFactory(load, index).sampler.share for index in (0, 1)]
    assert sum(shares) == pytest.approx(1.0)


def test_popular_keys_come_more_often() -> None:
    """The most popular key comes as often as Zipf's law says."""
    requests = make(load_spec(LOOKUP), 0, 10_000)
    counts = Counter(item.key for item in requests)
    ratio = counts["key-0"] / counts["key-2"]
    assert ratio == pytest.approx(3**0.9, rel=0.15)
