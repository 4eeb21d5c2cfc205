"""Conversion between messages on the wire and data classes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from swiftpin.membership.compression import compress_body, expand_body
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.proto import peer_pb2 as pb
from swiftpin.membership.stamp import Stamp
from swiftpin.ownership.group_id import GroupId

Message = Any
"""A generated message class's object; the generated code carries no types."""

_MILLISECONDS: Final = 1000.0
_MAX_AGE_MS: Final = 2**32 - 1
_COMPRESS_FROM: Final = 512
"""Size in bytes from which a body is compressed."""


def encode_beat(beat: GroupHeartbeat) -> Message:
    """Return the message form of a heartbeat."""
    return pb.Group(
        service=beat.group.service,
        group=beat.group.group,
        term=beat.term,
        revision=beat.revision,
    )


def decode_beat(message: Message) -> GroupHeartbeat:
    """Return the heartbeat of a message."""
    return GroupHeartbeat(
        group=decode_group(message), term=message.term, revision=message.revision
    )


def decode_group(message: Message) -> GroupId:
    """Return the group that a message names."""
    return GroupId(service=message.service, group=message.group)


def encode_item(item: NewsItem) -> Message:
    """Return the message form of one version of an object."""
    compresses = item.body is not None and len(item.body) >= _COMPRESS_FROM
    return pb.StoreObject(
        stamp=encode_stamp(item.name, item.stamp),
        body=compress_body(item.body or b"") if compresses else item.body,
        version=item.version,
        compressed=compresses,
    )


def decode_item(message: Message) -> NewsItem:
    """Return the version of an object that a message carries.

    Raises `MalformedObjectError` when its body cannot be read.
    """
    body = message.body if message.HasField("body") else None
    if body is not None and message.compressed:
        body = expand_body(body)
    return NewsItem(
        name=message.stamp.name,
        stamp=Stamp(message.stamp.major, message.stamp.minor),
        body=body,
        version=message.version,
    )


def encode_stamp(name: str, stamp: Stamp) -> Message:
    """Return the message form of an object's stamp."""
    return pb.Stamp(name=name, major=stamp.major, minor=stamp.minor)


def decode_stamps(messages: Iterable[Message]) -> dict[str, Stamp]:
    """Return the stamps of messages by object name."""
    return {item.name: Stamp(item.major, item.minor) for item in messages}


def encode_age(age: float | None) -> int | None:
    """Return an age in milliseconds, as it is sent."""
    if age is None:
        return None
    return min(max(0, int(age * _MILLISECONDS)), _MAX_AGE_MS)


def decode_age(message: Message) -> float | None:
    """Return the age in seconds that a message states, None when it states none."""
    if not message.HasField("store_age_ms"):
        return None
    return float(message.store_age_ms) / _MILLISECONDS
