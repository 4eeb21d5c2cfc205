"""Tests of the conversion between messages and data classes."""

from __future__ import annotations

import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from swiftpin.membership.compression import MAX_BODY, compress_body, expand_body
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.proto import peer_pb2 as pb
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.wire import decode_age, decode_item, encode_age, encode_item

items = st.builds(
    NewsItem,
    name=st.text(max_size=20),
    stamp=st.builds(Stamp, st.integers(0, 2**63), st.integers(0, 2**63)),
    body=st.none() | st.binary(max_size=2000),
    version=st.integers(0, 2**63),
)


@given(items)
def test_item_arrives_as_it_was_sent(item: NewsItem) -> None:
    """Names, stamps and bodies survive, also compressed and also empty ones."""
    message = pb.StoreObject.FromString(encode_item(item).SerializeToString())
    assert decode_item(message) == item


def test_large_body_is_compressed() -> None:
    """A record of many slices takes a fraction of its size."""
    body = b'[1024,"desk-1",131073,"desk-2"],' * 1000
    item = NewsItem(name="groups/desk/0", stamp=Stamp(2, 1), body=body)
    assert encode_item(item).ByteSize() < len(body) / 5


@pytest.mark.parametrize(
    "data",
    [b"nonsense", compress_body(b"x" * 1000)[:-3], zlib.compress(bytes(MAX_BODY + 1))],
    ids=["malformed", "cut short", "too large"],
)
def test_body_that_cannot_be_expanded_is_refused(data: bytes) -> None:
    """No peer can fill the memory with a few bytes."""
    with pytest.raises(MalformedObjectError):
        expand_body(data)


def test_largest_body_of_the_store_is_expanded() -> None:
    """The limit leaves out nothing that the store takes."""
    body = bytes(MAX_BODY)
    assert expand_body(compress_body(body)) == body


@pytest.mark.parametrize("age", [None, 0.0, 1.5])
def test_age_arrives_as_it_was_sent(age: float | None) -> None:
    """Ages are milliseconds on the wire, unset when unknown."""
    assert decode_age(pb.CompareDigestReply(store_age_ms=encode_age(age))) == age
