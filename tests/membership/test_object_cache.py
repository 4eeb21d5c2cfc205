"""Tests of the object cache."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.stamp import Stamp, stamp_of

NAMES = ("config/service/desk", "config/profile/fast", "groups/desk/0")


def make_object(name: str, major: int, minor: int = 0) -> CachedObject:
    """Return a version whose body follows from its stamp."""
    return CachedObject(
        name=name, stamp=Stamp(major, minor), body=f"{major}.{minor}".encode()
    )


versions = st.builds(
    make_object, st.sampled_from(NAMES), st.integers(1, 9), st.integers(0, 3)
)


@pytest.fixture
def cache() -> ObjectCache:
    """Return an empty cache."""
    return ObjectCache()


def test_newer_version_is_adopted(cache: ObjectCache) -> None:
    """A greater stamp replaces the known version."""
    assert cache.adopt(make_object("groups/desk/0", 2, 7))
    assert cache.adopt(make_object("groups/desk/0", 4, 0))
    known = cache.get("groups/desk/0")
    assert known is not None
    assert known.stamp == Stamp(4, 0)


@given(st.lists(versions, max_size=40))
def test_no_object_ever_goes_back(arrivals: list[CachedObject]) -> None:
    """Whatever the order of arrival, the greatest stamp seen so far is known."""
    cache = ObjectCache()
    newest: dict[str, Stamp] = {}
    for obj in arrivals:
        newest[obj.name] = max(newest.get(obj.name, obj.stamp), obj.stamp)
        cache.adopt(obj)
        known = cache.get(obj.name)
        assert known is not None
        assert known.stamp == newest[obj.name]


@given(st.lists(versions, max_size=40), st.randoms(use_true_random=False))
def test_digests_do_not_depend_on_order(
    arrivals: list[CachedObject], random: Random
) -> None:
    """Two instances that know the same versions have the same digests."""
    first, second = ObjectCache(), ObjectCache()
    shuffled = list(arrivals)
    random.shuffle(shuffled)
    for obj in arrivals:
        first.adopt(obj)
    for obj in shuffled:
        second.adopt(obj)
    assert first.digests.root == second.digests.root
    assert first.digests.digests == second.digests.digests


def test_digest_shows_the_bucket_that_differs(cache: ObjectCache) -> None:
    """Only the bucket of the object in another version differs."""
    other = ObjectCache()
    for name in NAMES:
        cache.adopt(make_object(name, 1))
        other.adopt(make_object(name, 1))
    other.adopt(make_object(NAMES[0], 2))
    (bucket,) = cache.digests.differing(other.digests.digests)
    assert NAMES[0] in cache.digests.names_in(bucket)


def test_listener_hears_only_its_prefix_until_unsubscribed(cache: ObjectCache) -> None:
    """A listener is called for each adopted version of its names."""
    heard: list[CachedObject] = []
    unsubscribe = cache.subscribe("groups/", heard.append)
    cache.adopt(make_object("config/service/desk", 1))
    cache.adopt(make_object("groups/desk/0", 2, 1))
    cache.adopt(make_object("groups/desk/0", 2, 0))
    unsubscribe()
    cache.adopt(make_object("groups/desk/0", 4, 0))
    assert [obj.stamp for obj in heard] == [Stamp(2, 1)]


def test_failing_listener_does_not_stop_the_others(cache: ObjectCache) -> None:
    """An instance goes deaf to news after one bad object.

    A body that a listener cannot read arrives; the listener raises; the error ends
    the task that carries the news. The cache contains and counts it.
    """
    heard: list[CachedObject] = []

    def fail(obj: CachedObject) -> None:
        raise ValueError(obj.name)

    cache.subscribe("config/", fail)
    cache.subscribe("config/", heard.append)
    assert cache.adopt(make_object("config/service/desk", 1))
    assert len(heard) == 1
    assert cache.listener_errors == 1


def test_equal_stamp_with_another_body_is_counted(cache: ObjectCache) -> None:
    """The first body stays and the conflict shows."""
    cache.adopt(make_object("groups/desk/0", 2, 1))
    twin = CachedObject(name="groups/desk/0", stamp=Stamp(2, 1), body=b"other")
    assert not cache.adopt(twin)
    assert cache.stamp_conflicts == 1


def test_store_version_of_a_known_version_is_learnt(cache: ObjectCache) -> None:
    """A version that a peer brought gets its store version from a later read."""
    cache.adopt(CachedObject(name="groups/d/0", stamp=Stamp(2, 1), body=b"x"))
    read = CachedObject(name="groups/d/0", stamp=Stamp(2, 1), body=b"x", version=17)
    assert not cache.adopt(read)
    known = cache.get("groups/d/0")
    assert known is not None
    assert known.version == 17


def test_stamp_of_a_declaration_is_the_store_version() -> None:
    """Declarations are ordered by the store."""
    assert stamp_of("config/service/desk", 17, b"{}") == Stamp(17, 0)


def test_stamp_of_a_record_is_its_term_and_revision() -> None:
    """Records are ordered by what they state, not by the store."""
    body = b'{"term": 4, "revision": 9}'
    assert stamp_of("groups/desk/0", 17, body) == Stamp(4, 9)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"term": 1}', b'{"term": null}'])
def test_stamp_of_a_malformed_record_is_refused(body: bytes) -> None:
    """A record without an order cannot be adopted."""
    with pytest.raises(MalformedObjectError):
        stamp_of("groups/desk/0", 17, body)
