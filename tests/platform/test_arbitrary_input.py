"""Every decoder either decodes or raises its typed error, whatever it is fed."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
import orjson
import pytest

from swiftpin.exceptions import ConfigurationError, StoreUnavailableError
from swiftpin.helpers.time_slices import run_to_completion
from swiftpin.keyranges.assignment import (
    Assignment,
    decode_assignment,
    divide_by_weight,
    encode_assignment,
)
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.lease_record import LeaseRecord, decode_lease, encode_lease
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.json_fields import FieldError, load_json
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.request_head import decode_answer_head, decode_request_head
from swiftpin.platform.settings import decode_settings, read_settings
from swiftpin.platform.store_answers import decode_changes, decode_list, decode_object
from swiftpin.platform.target_entries import (
    decode_target,
    decode_target_list,
    encode_target_list,
)
from swiftpin.platform.unusable_entry import UnusableEntryError
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


def places(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:  # noqa: ANN401
    """Return the paths of all values in a document."""
    found = [path]
    if isinstance(document, dict):
        for name, value in document.items():
            found += places(value, (*path, name))
    elif isinstance(document, list):
        for number, value in enumerate(document):
            found += places(value, (*path, number))
    return found


def replaced(document: Any, path: tuple[Any, ...], value: object) -> Any:  # noqa: ANN401
    """Return a document with the value at a path replaced."""
    if not path:
        return value
    first, *rest = path
    changed = dict(document) if isinstance(document, dict) else list(document)
    changed[first] = replaced(document[first], tuple(rest), value)
    return changed


def spoilt(document: object) -> st.SearchStrategy[Any]:
    """Return arbitrary documents, and a good one with one value replaced."""
    return documents | st.builds(
        lambda path, value: replaced(document, path, value),
        st.sampled_from(places(document)),
        documents,
    )


def as_object(written: object) -> PlatformObject:
    """Return what was written as an object of the store."""
    return PlatformObject(
        name="a", revision=3, is_deleted=False, document={"specification": written}
    )


@given(spoilt(PAGE))
def test_page(page: object) -> None:
    """A page of a list."""
    with suppress(StoreUnavailableError):
        decode_list(page, 0)


@given(spoilt(CHANGES))
def test_changes(changes: object) -> None:
    """What a watch brings."""
    with suppress(StoreUnavailableError):
        decode_changes(changes, 0)


@given(spoilt(STORED))
def test_object(entry: object) -> None:
    """One object, and the target in it."""
    with suppress(StoreUnavailableError, UnusableEntryError):
        decode_target(decode_object(entry, 0))


@given(spoilt(content("a", born=5)))
def test_target_entry(written: object) -> None:
    """What a target, or another writer, says of a target."""
    with suppress(UnusableEntryError):
        found = decode_target(as_object(written))
        assert decode_target_list(encode_target_list([found])) == [found]


@given(spoilt(NEIGHBOURS))
def test_target_list_of_a_neighbour(told: object) -> None:
    """A list of targets between instances."""
    try:
        encoded = orjson.dumps(told)
    except TypeError:
        return
    with suppress(UnusableEntryError):
        decode_target_list(encoded)


@given(st.binary(max_size=200))
def test_bytes(body: bytes) -> None:
    """Bytes of an answer, of a neighbour's list and of its configuration."""
    with suppress(FieldError):
        load_json(body)
    with suppress(UnusableEntryError):
        decode_target_list(body)
    ConfigurationHolder().adopt_packed(body, 0.0)
    ConfigurationHolder().adopt_packed(zlib.compress(body), 0.0)


@given(spoilt(configuration(3, ROUTES)))
def test_configuration(document: object) -> None:
    """The operators' configuration; the one in force stays if it can't be read."""
    with suppress(ConfigurationError):
        run_to_completion(decode_configuration(document))
    ConfigurationHolder().adopt_changes((as_object(document),), 3, 0.0)


@given(spoilt(LEASE))
def test_lease(record: object) -> None:
    """The record of the lease."""
    try:
        found = decode_lease(record)
    except ConfigurationError:
        return
    assert isinstance(found.term, int)
    assert isinstance(found.renewal, int)
    assert all(isinstance(name, str) for name in (found.holder, *found.members))
    orjson.dumps(encode_lease(found))
    assert decode_lease(orjson.loads(orjson.dumps(encode_lease(found)))) == found


@given(spoilt(ASSIGNMENT))
def test_assignment(record: object) -> None:
    """The record of who owns which keys: what is read covers all keys once."""
    try:
        found = decode_assignment(record)
    except ConfigurationError:
        return
    assert_whole(found)
    assert decode_assignment(encode_assignment(found)) == found


def assert_whole(assignment: Assignment) -> None:
    """Check that each key has exactly one segment."""
    expected = 0
    for segment in assignment.segments:
        assert segment.first == expected
        assert segment.last >= segment.first
        expected = segment.last + 1
    assert expected == KEY_COUNT


@given(spoilt({"self": {"node": "n"}, "network": {}, "platform": {}, "terms": {}}))
def test_settings(document: object) -> None:
    """The settings of a process."""
    with suppress(ConfigurationError):
        decode_settings(document)


@settings(max_examples=20)
@given(body=st.binary(max_size=50))
def test_settings_file(tmp_path_factory: pytest.TempPathFactory, body: bytes) -> None:
    """Bytes of the settings file."""
    path: Path = tmp_path_factory.getbasetemp() / "settings"
    path.write_bytes(body)
    with pytest.raises(ConfigurationError):
        read_settings(str(path))


@given(deadline=st.text(max_size=8), key=st.text(max_size=8))
def test_request_head(deadline: str, key: str) -> None:
    """Headers of a caller; what can't be read is the caller's mistake."""
    headers = {"Swiftpin-Deadline-Milliseconds": deadline, "Swiftpin-Shard-Key": key}
    with suppress(ValueError):
        decode_request_head(headers)


@pytest.mark.parametrize("deadline", ["nan", "inf", "-inf"])
def test_deadline_that_is_no_time_is_the_callers_mistake(deadline: str) -> None:
    """Symptom: a request failed with an error of the router's own.

    Sequence: its deadline read "inf". Cause: it was a number to Python.
    """
    with pytest.raises(ValueError, match="not a time"):
        decode_request_head({"Swiftpin-Deadline-Milliseconds": deadline})


@given(status=st.integers(100, 599), load=st.text(max_size=12))
def test_answer_head(status: int, load: str) -> None:
    """Headers of a target; a spoilt one says nothing."""
    decode_answer_head(status, {"Swiftpin-Upstream-Load": load})
