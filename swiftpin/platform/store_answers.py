"""Answers of the store's calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftpin.exceptions import StoreUnavailableError
from swiftpin.platform.platform_object import PlatformObject


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectList:
    """Objects of a kind as they were at a revision."""

    objects: tuple[PlatformObject, ...]
    revision: int
    has_more: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectChanges:
    """Objects that changed, in order; watch on from `revision`."""

    objects: tuple[PlatformObject, ...]
    revision: int


def decode_object(entry: dict[str, Any]) -> PlatformObject:
    """Return one object."""
    try:
        metadata = entry["metadata"]
        return PlatformObject(
            name=metadata["name"],
            revision=int(metadata["revision"]),
            is_deleted=bool(metadata.get("deleting", False)),
            document=entry,
        )
    except (KeyError, TypeError, ValueError) as err:
        raise StoreUnavailableError(f"a malformed object: {err!r}") from err


def decode_list(answer: dict[str, Any]) -> ObjectList:
    """Return one page of a list."""
    try:
        return ObjectList(
            objects=tuple(decode_object(entry) for entry in answer["items"]),
            # The store's revision when it made the page.
            revision=int(answer["at"]),
            has_more=bool(answer.get("more", False)),
        )
    except (KeyError, TypeError, ValueError) as err:
        raise StoreUnavailableError(f"a malformed list: {err!r}") from err


def decode_changes(answer: dict[str, Any]) -> ObjectChanges:
    """Return what a watch saw."""
    try:
        objects = tuple(_decode_event(event) for event in answer["events"])
        return ObjectChanges(objects=objects, revision=int(answer["at"]))
    except (KeyError, TypeError, ValueError) as err:
        raise StoreUnavailableError(f"malformed changes: {err!r}") from err


def _decode_event(event: dict[str, Any]) -> PlatformObject:
    """Return the object of an event."""
    changed = decode_object(event["object"])
    return PlatformObject(
        name=changed.name,
        revision=changed.revision,
        is_deleted=bool(event["deleted"]) or changed.is_deleted,
        document=changed.document,
    )
