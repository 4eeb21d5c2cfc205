"""Tests of malformed store entries created by other writers."""

from __future__ import annotations

from collections.abc import Callable
import json
from typing import Any, Final

import pytest

from swiftpin.helpers.json_fields import FieldError, load_json
from swiftpin.model.unusable_entry import UnusableEntryError, UnusableReason
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import decode_changes, decode_list
from swiftpin.platform.target_entries import decode_target
from tests.discovery.conftest import content

MAX_VALUE_BYTES: Final = 1_048_576
"""Maximum size of an entry that the platform accepts."""

Change = Callable[[dict[str, Any]], object]


def item(name: object, revision: object = 3) -> dict[str, Any]:
    """Return an object as it appears in a page of a list."""
    return {
        "metadata": {"name": name, "revision": revision, "deleting": False},
        "specification": content("a"),
        "status": None,
    }


def as_object(written: object) -> PlatformObject:
    """Return an object of the store with some content."""
    return PlatformObject(
        name="a", revision=3, is_deleted=False, document={"specification": written}
    )


MALFORMED: list[object] = [
    None,
    7,
    "text",
    [],
    {},
    {"metadata": None},
    {"metadata": []},
    item(None),
    item(7),
    item(""),
    item("\ud800"),
    item("b", "3"),
    item("b", True),
    item("b", 0),
    item("b", -4),
    item("b", 2.5),
    {"metadata": {"name": "b", "revision": 3, "deleting": "no"}},
]


@pytest.mark.parametrize("malformed", MALFORMED)
def test_malformed_item_does_not_hide_others_of_its_page(malformed: object) -> None:
    """Guards against losing all targets and the store because of one malformed item.

    A single malformed item made the whole page count as unanswered, on every list.
    """
    page = decode_list({"items": [item("a"), malformed, item("c")], "at": 9}, 0)
    assert [found.name for found in page.objects if found.is_readable] == ["a", "c"]
    assert len(page.objects) == 3


@pytest.mark.parametrize("malformed", MALFORMED)
def test_malformed_object_does_not_hide_others_of_its_watch(malformed: object) -> None:
    """Guards against a malformed object that blocks all further changes.

    A malformed event made the whole watch fail, so its revision was never passed and
    every later watch returned the event again.
    """
    events = [
        {"object": item("a"), "deleted": False},
        {"object": malformed, "deleted": False},
        {"object": item("c"), "deleted": True},
    ]
    changes = decode_changes({"events": events, "at": 9}, 0)
    assert [found.name for found in changes.objects if found.is_readable] == ["a", "c"]
    assert changes.revision == 9


@pytest.mark.parametrize("event", [None, [], {}, {"object": item("b")}])
def test_malformed_event_does_not_hide_others_of_its_watch(event: object) -> None:
    """A malformed event is handled like a malformed object."""
    good = {"object": item("a"), "deleted": False}
    changes = decode_changes({"events": [event, good], "at": 9}, 0)
    assert [found.is_readable for found in changes.objects] == [False, True]


def test_name_of_a_malformed_item_is_kept() -> None:
    """The name shows which known target's entry became unreadable."""
    page = decode_list({"items": [item("b", "x")], "at": 9}, 0)
    assert page.objects[0].name == "b"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda entry: entry.pop("address"), UnusableReason.FIELD),
        (lambda entry: entry.pop("information"), UnusableReason.FIELD),
        (lambda entry: entry.update(information=[]), UnusableReason.FIELD),
        (lambda entry: entry["information"].pop("zone"), UnusableReason.FIELD),
        (lambda entry: entry["information"].update(service=4), UnusableReason.FIELD),
        (lambda entry: entry["information"].update(slots=True), UnusableReason.FIELD),
        (lambda entry: entry["information"].update(slots="2"), UnusableReason.FIELD),
        (lambda entry: entry["information"].update(slots=0), UnusableReason.RANGE),
        (lambda entry: entry["information"].update(slots=10**9), UnusableReason.RANGE),
        (lambda entry: entry.update(address="nowhere"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="a:0"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="a:99999"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="a..b:8080"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="a\0b:8080"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="127.0.0.1 :80"), UnusableReason.RANGE),
        (lambda entry: entry.update(address="[::1]:80"), UnusableReason.RANGE),
        (lambda entry: entry.update(address=f"{'x' * 70}:80"), UnusableReason.RANGE),
        (lambda entry: entry.update(status="ready"), UnusableReason.FIELD),
        (lambda entry: entry["status"].update(state="resting"), UnusableReason.STATE),
        (lambda entry: entry["status"].update(state=None), UnusableReason.FIELD),
        (lambda entry: entry["status"].update(cold_ms=-1), UnusableReason.RANGE),
        (lambda entry: entry["status"].update(cold_ms="0"), UnusableReason.FIELD),
        (lambda entry: entry["status"].update(sequence=1.5), UnusableReason.FIELD),
        (lambda entry: entry["status"].pop("sequence"), UnusableReason.FIELD),
        (lambda entry: entry.update(born=None), UnusableReason.FIELD),
        (lambda entry: entry.update(born=True), UnusableReason.FIELD),
        (lambda entry: entry.update(born=1.0), UnusableReason.FIELD),
        (lambda entry: entry.update(born="1"), UnusableReason.FIELD),
        (lambda entry: entry.update(born=-1), UnusableReason.RANGE),
    ],
)
def test_malformed_entry_is_rejected(change: Change, reason: UnusableReason) -> None:
    """Guards against requests to a target whose state is unknown.

    Entries with undocumented states, types or values were accepted if Python could
    convert them.
    """
    written = content("a")
    change(written)
    with pytest.raises(UnusableEntryError) as caught:
        decode_target(as_object(written))
    assert caught.value.reason is reason


def test_start_of_a_target_is_an_integer() -> None:
    """The start time becomes part of the id of the target's life."""
    written = content("a", born=1_764_720_000_000)
    assert decode_target(as_object(written)).id == "a@1764720000000"
    assert decode_target(as_object(content("a"))).life.started_ms is None


def nested(depth: int) -> str:
    """Return arrays in arrays."""
    return "[" * depth + "]" * depth


DEEP_TEXTS = {
    "arrays": nested(2000),
    "objects": '{"a":' * 2000 + "1" + "}" * 2000,
    "largest entry": nested(MAX_VALUE_BYTES // 2),
    "strings with brackets": f'["[[{{", "\\"]", {nested(2000)}, "]]}}"]',
    "long number": "9" * 5000,
    "both": f"[{nested(2000)}, {'9' * 5000}]",
}


@pytest.mark.parametrize("text", DEEP_TEXTS.values(), ids=DEEP_TEXTS.keys())
def test_unusual_json_does_not_hide_the_rest_of_a_page(text: str) -> None:
    """Guards against one entry of another writer that hides all targets."""
    items = [json.dumps(item(name)) for name in ("a", "odd", "b")]
    items[1] = items[1].replace('"information": ', f'"more": {text}, "information": ')
    assert text in items[1]
    page = f'{{"items": [{",".join(items)}], "more": false, "at": 7}}'
    listed = decode_list(load_json(page.encode()), 0)
    assert [entry.name for entry in listed.objects] == ["a", "odd", "b"]
    for entry in listed.objects:
        assert decode_target(entry).address
    events = ",".join(f'{{"object": {text}, "deleted": false}}' for text in items)
    watched = f'{{"events": [{events}], "at": 7}}'
    changes = decode_changes(load_json(watched.encode()), 0)
    assert [entry.name for entry in changes.objects] == ["a", "odd", "b"]


def test_field_that_is_nested_too_deeply_makes_its_entry_unusable() -> None:
    """Guards against an entry that names a target by what is left of its fields."""
    entry = as_object(load_json(f'{{"information": {nested(2000)}}}'.encode()))
    with pytest.raises(UnusableEntryError):
        decode_target(entry)


def test_invalid_unicode_does_not_hide_the_rest_of_a_page() -> None:
    """Guards against losing the store because one entry contains invalid Unicode.

    orjson rejects the whole page for a single invalid string.
    """
    page = load_json(b'{"items": ["\xff\xfe", "\\ud800", "b"], "at": 3}')
    assert page["items"][2] == "b"
    assert page["at"] == 3


INVALID_STRINGS: Final = {
    "bytes that are not UTF-8": b"v\xea1",
    "a tab": b"v1\tbeta",
    "a line feed": b"v1\nbeta",
    "a null": b"v\x001",
    "an unknown escape": rb"v\x1",
    "an incomplete escape": rb"v\u12",
    "an escaped backslash before it": b"v\\\\\t1",
    "a lone surrogate": rb"v\ud800",
    "brackets": b'v[\t{"'.replace(b'"', b'\\"'),
}
VERSION: Final = b'"version": "%s"'


def encode_page(odd: bytes, replaced: bytes, replacement: bytes) -> bytes:
    """Return a page with the targets a, odd and b; a part of odd is replaced."""
    items = [json.dumps(item(name)).encode() for name in ("a", "odd", "b")]
    assert replaced in items[1]
    items[1] = items[1].replace(replaced, replacement % odd)
    return b'{"items": [' + b",".join(items) + b'], "more": false, "at": 7}'


@pytest.mark.parametrize(
    "invalid", INVALID_STRINGS.values(), ids=INVALID_STRINGS.keys()
)
@pytest.mark.parametrize("field", ["version", "service", "zone", "address", "state"])
def test_invalid_string_makes_its_entry_unusable(field: str, invalid: bytes) -> None:
    """Guards against an entry that names a target by a string that can't be read."""
    written = content("a")
    parts = (written, written["information"], written["status"])
    value = next(part[field] for part in parts if field in part)
    old = json.dumps({field: value}).encode()[1:-1]
    new = json.dumps({field: "%s"}).encode()[1:-1]
    page = encode_page(invalid, old, new)
    first, odd, last = decode_list(load_json(page), 0).objects
    assert decode_target(first).name == "a"
    assert decode_target(last).name == "b"
    assert odd.name == "odd"
    with pytest.raises(UnusableEntryError):
        decode_target(odd)


@pytest.mark.parametrize(
    "invalid", INVALID_STRINGS.values(), ids=INVALID_STRINGS.keys()
)
def test_invalid_name_hides_no_other_entry(invalid: bytes) -> None:
    """Guards against an entry whose name can't be read."""
    page = encode_page(invalid, b'"name": "odd"', b'"name": "%s"')
    listed = decode_list(load_json(page), 0)
    assert [entry.is_readable for entry in listed.objects] == [True, False, True]


def test_valid_escapes_are_kept_beside_an_invalid_string() -> None:
    """Guards against sound entries that are changed because of another one."""
    sound = {"text": 'a"b\\c/\b\f\n\r\té\u20ac\U0001f600[{', "next": "}]"}
    for is_ascii in (True, False):
        encoded = json.dumps(sound, ensure_ascii=is_ascii).encode()
        assert load_json(b'["\t", %s, "\xff"]' % encoded)[1] == sound


@pytest.mark.parametrize("body", [b"", b"\xff", b"{", b'{"a":1', b"[" * 100_000])
def test_invalid_json_is_an_error(body: bytes) -> None:
    """Bytes that are not JSON raise a `FieldError`."""
    with pytest.raises(FieldError):
        load_json(body)
