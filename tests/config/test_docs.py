"""Tests of the operators' page on declarations."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.docs import DEFAULT_PAGE, declarations_page, main
from swiftpin.config.schema import json_schema
from swiftpin.config.schema_field import SchemaField, schema_fields

ROOT = Path(__file__).parents[2]
FIELDS = [field for kind in ConfigKind for field in schema_fields(json_schema(kind))]


def test_committed_page_is_current() -> None:
    """After a change of the models, run `python -m swiftpin.config.docs`."""
    page = (ROOT / DEFAULT_PAGE).read_text(encoding="utf-8")
    assert page == declarations_page()


def test_writes_the_page_to_a_file(tmp_path: Path) -> None:
    """The command makes the directories that the page needs."""
    page = tmp_path / "docs" / "page.md"
    assert main([str(page)]) == 0
    assert page.read_text(encoding="utf-8") == declarations_page()


@pytest.mark.parametrize("field", FIELDS, ids=lambda field: field.path)
def test_each_field_tells_unit_default_and_effect(field: SchemaField) -> None:
    """No field can be added without telling operators what it does."""
    description = field.description.lower()
    assert "unit" in description
    assert "default" in description
    assert "effect: " in description
