"""Tests that decoders raise only their typed errors, whatever the input."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
import orjson
import pytest

from swiftpin.discovery.target_list import decode_target_list, encode_target_list
from swiftpin.exceptions import ConfigurationError, StoreUnavailableError
from swiftpin.helpers.json_fields import FieldError, load_json
from swiftpin.helpers.time_slices import run_to_completion
from swiftpin.keyranges.assignment import (
    Assignment,
    decode_assignment,
    divide_by_weight,
    encode_assignment,
)
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.lease_record import LeaseRecord, decode_lease, encode_lease
from swiftpin.model.unusable_entry import UnusableEntryError
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.request_head import decode_answer_head, decode_request_head
from swiftpin.platform.settings import decode_settings, read_settings
from swiftpin.platform.store_answers import decode_changes, decode_list, decode_object
from swiftpin.platform.target_entries import decode_target
from swiftpin.router.configuration_holder import ConfigurationHolder
from tests.discovery.conftest import content, target
from tests.router.site import ROUTES, configuration

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "r12", "a:1", "\ud800", ""])
)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)

LEASE = encode_lease(
    LeaseRecord(holder="a/1", peer="a:1", term=3, renewal=4, members=("a", "b"))
)
ASSIGNMENT = encode_assignment(divide_by_weight({"a": 1.0, "b": 2.0}, 5))
STORED = {
    "metadata": {"name": "a", "revision": 3, "deleting": False},
    "specification": content("a", born=5),
    "status": None,
}
PAGE = {"items": [STORED, STORED], "more": False, "at": 9}
CHANGES = {"events": [{"object": STORED, "deleted": False}], "at": 9}
NEIGHBOURS = orjson.loads(encode_target_list([target("a", 3, born=7)]))


def value_paths(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:  # noqa: ANN401
    """Return the paths of all values in a document."""
    paths = [path]
    if isinstance(document, dict):
        for name, value in document.items():
            paths += value_paths(value, (*path, name))
    elif isinstance(document, list):
        for number, value in enumerate(document):
            paths += value_paths(value, (*path, number))
    return paths


def replace_at(document: Any, path: tuple[Any, ...], value: object) -> Any:  # noqa: ANN401
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return value
    first, *rest = path
    changed = dict(document) if isinstance(document, dict) else list(document)
    changed[first] = replace_at(document[first], tuple(rest), value)
    return changed


def corrupted(document: object) -> st.SearchStrategy[Any]:
    """Generate arbitrary documents, and copies of a valid one with a value replaced."""
    return documents | st.builds(
        lambda path, value: replace_at(document, path, value),
        st.sampled_from(value_paths(document)),
        documents,
    )


def as_object(written: object) -> PlatformObject:
    """Return an object of the store with some content."""
    return PlatformObject(
        name="a", revision=3, is_deleted=False, document={"specification": written}
    )


@given(corrupted(PAGE))
def test_page(page: object) -> None:
    """Decode a page of a list."""
    with suppress(StoreUnavailableError):
        decode_list(page, 0)


@given(corrupted(CHANGES))
def test_changes(changes: object) -> None:
    """Decode the answer to a watch."""
    with suppress(StoreUnavailableError):
        decode_changes(changes, 0)


@given(corrupted(STORED))
def test_object(entry: object) -> None:
    """Decode an object and the target in it."""
    with suppress(StoreUnavailableError, UnusableEntryError):
        decode_target(decode_object(entry, 0))


@given(corrupted(content("a", born=5)))
def test_target_entry(written: object) -> None:
    """Decode a target's entry; a valid one survives a round trip."""
    with suppress(UnusableEntryError):
        target = decode_target(as_object(written))
        assert decode_target_list(encode_target_list([target])) == [target]


@given(corrupted(NEIGHBOURS))
def test_target_list_of_a_neighbour(sent: object) -> None:
    """Decode a list of targets from another instance."""
    try:
        encoded = orjson.dumps(sent)
    except TypeError:
        return
    with suppress(UnusableEntryError):
        decode_target_list(encoded)


@given(st.binary(max_size=200))
def test_bytes(body: bytes) -> None:
    """Decode bytes as JSON, as a target list and as a packed configuration."""
    with suppress(FieldError):
        load_json(body)
    with suppress(UnusableEntryError):
        decode_target_list(body)
    ConfigurationHolder().adopt_packed(body, 0.0)
    ConfigurationHolder().adopt_packed(zlib.compress(body), 0.0)


@given(corrupted(configuration(3, ROUTES)))
def test_configuration(document: object) -> None:
    """Decode a configuration, and adopt it from the store."""
    with suppress(ConfigurationError):
        run_to_completion(decode_configuration(document))
    ConfigurationHolder().adopt_changes((as_object(document),), 3, 0.0)


@given(corrupted(LEASE))
def test_lease(record: object) -> None:
    """Decode a lease record; a valid one survives a round trip."""
    try:
        lease_record = decode_lease(record)
    except ConfigurationError:
        return
    assert isinstance(lease_record.term, int)
    assert isinstance(lease_record.renewal, int)
    assert all(
        isinstance(name, str) for name in (lease_record.holder, *lease_record.members)
    )
    orjson.dumps(encode_lease(lease_record))
    assert (
        decode_lease(orjson.loads(orjson.dumps(encode_lease(lease_record))))
        == lease_record
    )


@given(corrupted(ASSIGNMENT))
def test_assignment(record: object) -> None:
    """Decode an assignment; a valid one covers every key exactly once."""
    try:
        assignment = decode_assignment(record)
    except ConfigurationError:
        return
    assert_covers_all_keys(assignment)
    assert decode_assignment(encode_assignment(assignment)) == assignment


def assert_covers_all_keys(assignment: Assignment) -> None:
    """Assert that each key belongs to exactly one segment."""
    expected = 0
    for segment in assignment.segments:
        assert segment.first == expected
        assert segment.last >= segment.first
        expected = segment.last + 1
    assert expected == KEY_COUNT


@given(corrupted({"self": {"node": "n"}, "network": {}, "platform": {}, "terms": {}}))
def test_settings(document: object) -> None:
    """Decode the settings of a process."""
    with suppress(ConfigurationError):
        decode_settings(document)


@settings(max_examples=20)
@given(body=st.binary(max_size=50))
def test_settings_file(tmp_path_factory: pytest.TempPathFactory, body: bytes) -> None:
    """Read arbitrary bytes as a settings file."""
    path: Path = tmp_path_factory.getbasetemp() / "settings"
    path.write_bytes(body)
    with pytest.raises(ConfigurationError):
        read_settings(str(path))


@given(deadline=st.text(max_size=8), key=st.text(max_size=8))
def test_request_head(deadline: str, key: str) -> None:
    """Decode a caller's headers; malformed ones are a `ValueError`."""
    headers = {"Swiftpin-Deadline-Milliseconds": deadline, "Swiftpin-Shard-Key": key}
    with suppress(ValueError):
        decode_request_head(headers)


@pytest.mark.parametrize("deadline", ["nan", "inf", "-inf"])
def test_deadline_that_is_not_finite_is_an_error(deadline: str) -> None:
    """Guards against an internal error for a deadline that parses as non-finite."""
    with pytest.raises(ValueError, match="not a time"):
        decode_request_head({"Swiftpin-Deadline-Milliseconds": deadline})


@given(
    status=st.integers(100, 599),
    load=st.text(max_size=12),
    limit=st.text(max_size=12),
)
def test_answer_head(status: int, load: str, limit: str) -> None:
    """Decode a target's headers; a malformed load or rate limit is ignored."""
    decode_answer_head(status, {"Swiftpin-Upstream-Load": load, "Server-Limit": limit})
