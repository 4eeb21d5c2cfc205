"""Tests of tables."""

from __future__ import annotations

import pytest

from swiftpin.bench.report.table import Table, format_cell


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.012345, "0.0123"),
        (12345.6, "12,346"),
        (12345, "12,345"),
        (True, "True"),
        ("desk", "desk"),
        (None, "not measured"),
    ],
)
def test_cells_are_readable(value: object, text: str) -> None:
    """Numbers are rounded for reading, missing ones are said to be so."""
    assert format_cell(value) == text


def test_markdown() -> None:
    """A table has titles, a rule and a line for each row."""
    table = Table(titles=("a", "b"), rows=((1, 2.5), (3, None)))
    assert table.markdown() == (
        "| a | b |\n| --- | --- |\n| 1 | 2.5 |\n| 3 | not measured |\n"
    )


def test_html_is_escaped() -> None:
    """Text from results cannot become markup."""
    table = Table(titles=("a",), rows=(("<b>",),))
    assert "&lt;b&gt;" in table.html()
