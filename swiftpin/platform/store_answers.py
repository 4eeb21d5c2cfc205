"""Decoding of the store's answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import orjson

from swiftpin.exceptions import AnswerBrokenError, StoreUnavailableError
from swiftpin.helpers.damaged_json import (
    decode_damaged,
    find_flag,
    find_object,
    load_array,
    load_element,
)
from swiftpin.helpers.json_fields import (
    FieldError,
    read_boolean,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_string,
)
from swiftpin.model.store_revision import MAX_ERA, REVISIONS_PER_ERA, make_revision
from swiftpin.platform.platform_object import PlatformObject

ITEM_KEYS: Final = ("metadata", "specification", "status")
EVENT_KEYS: Final = ("object", "deleted")


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectList:
    """Objects of a kind at a store revision."""

    objects: tuple[PlatformObject, ...]
    revision: int
    has_more: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectChanges:
    """Changed objects in order; the next watch starts at `revision`."""

    objects: tuple[PlatformObject, ...]
    revision: int


def parse_object(body: bytes, era: int) -> PlatformObject:
    """Parse an object; raise `StoreUnavailableError` if it is malformed.

    Of an object whose content is not JSON, only the metadata are returned.
    """
    try:
        entry = orjson.loads(body)
    except ValueError:
        entry = _load_object(decode_damaged(body))
    return decode_object(entry, era)


def parse_list(body: bytes, era: int) -> ObjectList:
    """Parse one page of a list; objects that are not JSON keep their metadata."""
    return decode_list(_load_array(body, "items", ITEM_KEYS, _load_object), era)


def parse_changes(body: bytes, era: int) -> ObjectChanges:
    """Parse the answer to a watch; objects that are not JSON keep their metadata."""
    return decode_changes(_load_array(body, "events", EVENT_KEYS, _load_event), era)


def _load_array(
    body: bytes, name: str, keys: tuple[str, ...], load: Callable[[str], Any]
) -> Any:  # noqa: ANN401  # any JSON value
    """Parse an answer of which other writers wrote parts."""
    try:
        return load_array(body, name, keys, load)
    except ValueError as err:
        raise StoreUnavailableError(f"malformed {name}: {err}") from err


def _load_object(text: str) -> Any:  # noqa: ANN401  # any JSON value
    """Parse an object, or only its metadata."""
    try:
        return load_element(text)
    except ValueError:
        return {"metadata": find_object(text, "metadata")}


def _load_event(text: str) -> Any:  # noqa: ANN401  # any JSON value
    """Parse an event, or only the metadata of its object and whether it was deleted."""
    try:
        return load_element(text)
    except ValueError:
        changed = {"metadata": find_object(text, "metadata")}
        return {"object": changed, "deleted": find_flag(text, "deleted")}


def decode_object(entry: object, era: int) -> PlatformObject:
    """Decode an object; raise `StoreUnavailableError` if it is malformed."""
    try:
        return _decode_object(entry, era)
    except FieldError as err:
        raise StoreUnavailableError(f"malformed object: {err}") from err


def decode_list(answer: object, era: int) -> ObjectList:
    """Decode one page of a list."""
    try:
        fields = read_mapping(answer, "the list")
        items = read_list(read_field(fields, "items"), "items")
        return ObjectList(
            objects=tuple(_decode_item(item, era) for item in items),
            # Revision of the store when it created the page.
            revision=_read_revision(fields, "at", era),
            has_more=read_boolean(fields.get("more", False), "more"),
        )
    except FieldError as err:
        raise StoreUnavailableError(f"malformed list: {err}") from err


def decode_changes(answer: object, era: int) -> ObjectChanges:
    """Decode the changes reported by a watch."""
    try:
        fields = read_mapping(answer, "the changes")
        events = read_list(read_field(fields, "events"), "events")
        return ObjectChanges(
            objects=tuple(_decode_event(event, era) for event in events),
            revision=_read_revision(fields, "at", era),
        )
    except FieldError as err:
        raise StoreUnavailableError(f"malformed changes: {err}") from err


def decode_era(text: str | None) -> int | None:
    """Decode the era of an answer; raise `AnswerBrokenError` if it is malformed."""
    if text is None:
        return None
    if text.isascii() and text.isdigit() and len(text) < len(str(MAX_ERA)):
        return int(text)
    raise AnswerBrokenError(f"era {text[:20]!r} is not a valid number")


def _read_revision(
    fields: dict[str, Any], name: str, era: int, *, minimum: int = 0
) -> int:
    """Read a field with a revision number of an era."""
    maximum = REVISIONS_PER_ERA - 1
    return make_revision(
        era,
        read_integer(read_field(fields, name), name, minimum=minimum, maximum=maximum),
    )


def _decode_object(entry: object, era: int) -> PlatformObject:
    """Decode an object; raise `FieldError` if it is malformed."""
    fields = read_mapping(entry, "the object")
    metadata = read_mapping(read_field(fields, "metadata"), "metadata")
    return PlatformObject(
        name=read_string(read_field(metadata, "name"), "name"),
        revision=_read_revision(metadata, "revision", era, minimum=1),
        is_deleted=read_boolean(metadata.get("deleting", False), "deleting"),
        document=fields,
    )


def _decode_item(entry: object, era: int) -> PlatformObject:
    """Decode one object of a list; a malformed one becomes an unreadable object.

    An object that another writer corrupted must not hide the others. It stays in the
    list, so that the entry of a known target is recognized as unreadable, not as gone.
    """
    try:
        return _decode_object(entry, era)
    except FieldError:
        return PlatformObject(
            name=_readable_name(entry),
            revision=0,
            is_deleted=False,
            document={},
            is_readable=False,
        )


def _readable_name(entry: object) -> str:
    """Return the name of a malformed object, empty if it can't be decoded."""
    try:
        metadata = read_mapping(entry, "the object").get("metadata")
        return read_string(read_mapping(metadata, "metadata").get("name"), "name")
    except FieldError:
        return ""


def _decode_event(event: object, era: int) -> PlatformObject:
    """Decode the object of a watch event."""
    fields = event if isinstance(event, dict) else {}
    changed = _decode_item(fields.get("object"), era)
    deleted = fields.get("deleted")
    if not isinstance(deleted, bool):
        return replace(changed, is_readable=False)
    return replace(changed, is_deleted=deleted or changed.is_deleted)
