"""Tests of entries that another writer left in the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from swiftpin.platform.json_fields import FieldError, load_json
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import decode_changes, decode_list
from swiftpin.platform.target_entries import decode_target
from swiftpin.platform.unusable_entry import UnusableEntryError, UnusableReason
from tests.discovery.conftest import content

Change = Callable[[dict[str, Any]], object]


def item(name: object, revision: object = 3) -> dict[str, Any]:
    """Return an object as it lies in a page."""
    return {
        "metadata": {"name": name, "revision": revision, "deleting": False},
        "specification": content("a"),
        "status": None,
    }


def as_object(written: object) -> PlatformObject:
    """Return an entry as an object."""
    return PlatformObject(
        name="a", revision=3, is_deleted=False, document={"specification": written}
    )


SPOILT: list[object] = [
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


@pytest.mark.parametrize("spoilt", SPOILT)
def test_spoilt_item_leaves_the_others_of_its_page(spoilt: object) -> None:
    """Symptom: no target was known, and the store counted as lost.

    Sequence: another writer spoilt one entry; each list held it.
    Cause: one malformed item made the whole page count as no answer.
    """
    page = decode_list({"items": [item("a"), spoilt, item("c")], "at": 9}, 0)
    assert [found.name for found in page.objects if found.is_readable] == ["a", "c"]
    assert len(page.objects) == 3


@pytest.mark.parametrize("spoilt", SPOILT)
def test_spoilt_object_leaves_the_others_of_its_watch(spoilt: object) -> None:
    """Symptom: no change was learnt any more.

    Sequence: a watch brought a spoilt entry; its revision was never passed, so each
    next watch brought it again. Cause: one malformed event made all count as none.
    """
    events = [
        {"object": item("a"), "deleted": False},
        {"object": spoilt, "deleted": False},
        {"object": item("c"), "deleted": True},
    ]
    changes = decode_changes({"events": events, "at": 9}, 0)
    assert [found.name for found in changes.objects if found.is_readable] == ["a", "c"]
    assert changes.revision == 9


@pytest.mark.parametrize("event", [None, [], {}, {"object": item("b")}])
def test_spoilt_event_leaves_the_others_of_its_watch(event: object) -> None:
    """The same where the event around the object is spoilt."""
    good = {"object": item("a"), "deleted": False}
    changes = decode_changes({"events": [event, good], "at": 9}, 0)
    assert [found.is_readable for found in changes.objects] == [False, True]


def test_name_of_a_spoilt_item_is_kept() -> None:
    """Whoever knew a target by that name learns that its entry can't be read."""
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
def test_entry_of_another_writer_names_no_target(
    change: Change, reason: UnusableReason
) -> None:
    """Symptom: requests went to a target in a state that nobody knows.

    Sequence: an entry held a state, a type or a value that the pages do not name.
    Cause: it was read as far as Python's conversions went.
    """
    written = content("a")
    change(written)
    with pytest.raises(UnusableEntryError) as caught:
        decode_target(as_object(written))
    assert caught.value.reason is reason


def test_start_of_a_target_is_a_whole_number() -> None:
    """A target that tells its start is a life of its own."""
    written = content("a", born=1_764_720_000_000)
    assert decode_target(as_object(written)).id == "a@1764720000000"
    assert decode_target(as_object(content("a"))).life.started_ms is None


def test_text_that_is_not_unicode_leaves_the_rest_of_a_page() -> None:
    """Symptom: the store counted as lost as soon as one entry held odd bytes.

    Sequence: an entry with bytes that are no text came in a page.
    Cause: the parser refuses the whole page for one of them.
    """
    page = load_json(b'{"items": ["\xff\xfe", "\\ud800", "b"], "at": 3}')
    assert page["items"][2] == "b"
    assert page["at"] == 3


@pytest.mark.parametrize("body", [b"", b"\xff", b"{", b'{"a":1', b"[" * 100_000])
def test_bytes_that_are_no_json_are_an_error(body: bytes) -> None:
    """An answer that is nothing at all is the store's fault."""
    with pytest.raises(FieldError):
        load_json(body)
