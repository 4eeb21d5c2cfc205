"""Tests of the stored form of declarations."""

from __future__ import annotations

import pytest

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.envelope import decode_config_object, encode_config_object
from swiftpin.exceptions import ConfigurationError
from tests.config.conftest import MakeChange

DESK = ConfigName(kind=ConfigKind.SERVICE, name="desk")


def test_decode_returns_what_was_encoded(make_change: MakeChange) -> None:
    """Nothing of a change is lost in the store."""
    change = make_change(ConfigKind.SERVICE, "desk", 3, retired=True)
    assert decode_config_object(DESK, encode_config_object(change)) == change


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"generation": "3"}',
        b'{"generation": true, "writer": "w", "author": "a", "written_at": 1,'
        b' "retired": false, "document": {}}',
    ],
)
def test_decode_refuses_what_is_no_envelope(body: bytes) -> None:
    """A body of another form raises an error that names the object."""
    with pytest.raises(ConfigurationError, match="config/service/desk"):
        decode_config_object(DESK, body)


@pytest.mark.parametrize(
    "store_name",
    [
        "config/history/service/desk/3",
        "config/service/",
        "config/service/desk/3",
        "groups/desk/0",
        "service/desk",
    ],
)
def test_other_objects_are_no_declarations(store_name: str) -> None:
    """History and groups under a watched prefix are not taken for declarations."""
    assert ConfigName.from_store_name(store_name) is None


def test_store_name_leads_back_to_the_name() -> None:
    """The store name of a declaration names it fully."""
    assert ConfigName.from_store_name(DESK.store_name) == DESK
