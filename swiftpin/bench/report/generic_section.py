"""Part of the page about an experiment that has no part of its own."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from swiftpin.bench.report.section import Section
from swiftpin.bench.report.table import Table


def generic_section(result: dict[str, Any]) -> Section:
    """Return tables of a decoded JSON result: its values, then each list of records.

    Fields of nested records get names with dots; lists within them are left out.
    """
    values = Table(titles=("value", "is"), rows=tuple(_scalars("", result)))
    records = [
        _records_table(name, items)
        for name, items in _lists("", result)
        if items and all(isinstance(item, dict) for item in items)
    ]
    return Section(tables=(values, *records), plots=())


def _scalars(prefix: str, record: dict[str, Any]) -> Iterator[tuple[str, object]]:
    """Yield the names and values of a record's fields that are single values."""
    for name, value in record.items():
        match value:
            case dict():
                yield from _scalars(f"{prefix}{name}.", value)
            case list():
                continue
            case _:
                yield (f"{prefix}{name}", value)


def _lists(prefix: str, record: dict[str, Any]) -> Iterator[tuple[str, list[Any]]]:
    """Yield the names and values of a record's fields that are lists."""
    for name, value in record.items():
        match value:
            case dict():
                yield from _lists(f"{prefix}{name}.", value)
            case list():
                yield (f"{prefix}{name}", value)
            case _:
                continue


def _records_table(name: str, records: list[dict[str, Any]]) -> Table:
    """Return a table of records; a field that one lacks is left empty there."""
    rows = [dict(_scalars("", record)) for record in records]
    columns = list(dict.fromkeys(column for row in rows for column in row))
    return Table(
        titles=(name, *columns),
        rows=tuple(
            (number, *(row.get(column, "") for column in columns))
            for number, row in enumerate(rows, start=1)
        ),
    )
