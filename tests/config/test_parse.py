"""Tests of the validation of stored documents."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.parse import parse_document
from swiftpin.config.schema import json_schema
from swiftpin.config.schema_field import schema_fields
from swiftpin.exceptions import ConfigurationError

FIELDS = sorted(
    {
        field.path.replace("[]", "").rpartition(".")[2]
        for kind in ConfigKind
        for field in schema_fields(json_schema(kind))
    }
)
WORDS = ["swiftpin/v1", "Service", "Profile", "PlannedStop", "path", "query", "x"]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.sampled_from(WORDS),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*FIELDS, "other", 7]), inner, max_size=6)
    ),
    max_leaves=20,
)


@pytest.mark.parametrize("kind", ConfigKind)
@settings(derandomize=True, max_examples=300)
@given(spec=VALUES, extra=st.dictionaries(st.sampled_from(FIELDS), VALUES, max_size=3))
def test_wrong_documents_raise_one_kind_of_error(
    kind: ConfigKind, spec: object, extra: dict[str, Any]
) -> None:
    """Symptom: an instance ends at a document that somebody wrote by hand.

    Sequence: the store delivers a document of an unforeseen shape.
    Cause: an error other than `ConfigurationError` while wording what is wrong.
    """
    words_by_kind = dict(zip(ConfigKind, WORDS[1:], strict=False))
    document = {
        "apiVersion": "swiftpin/v1",
        "kind": words_by_kind[kind],
        "metadata": {"name": "x"},
        "spec": spec,
        **extra,
    }
    with suppress(ConfigurationError):
        parse_document(ConfigName(kind=kind, name="x"), document)
