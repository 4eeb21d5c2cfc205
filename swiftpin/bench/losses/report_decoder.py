"""Reading of the report of a played day."""

from __future__ import annotations

from typing import Any

from swiftpin.bench.losses.day_report import DayReport, Price, RequestGroup, WorthPart
from swiftpin.helpers.json_fields import (
    FieldError,
    load_json,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_number,
    read_string,
)


def decode_day_report(encoded: bytes) -> DayReport:
    """Return a report; raise `FieldError` if it can't be read."""
    fields = read_mapping(load_json(encoded), "report")
    # The same figures are kept for each role; this system has one.
    role = read_mapping(next(iter(_rows(fields, "nodes")), None), "first of nodes")
    return DayReport(
        worth=_signed(read_field(fields, "G")),
        instances=read_integer(read_field(role, "n"), "instances", minimum=1),
        parts=tuple(_part(row) for row in _rows(fields, "parts")),
        prices=tuple(_price(row) for row in _rows(fields, "prices")),
        kinds=tuple(_group(row) for row in _rows(fields, "classes")),
        windows=tuple(_group(row) for row in _rows(fields, "windows")),
        tries_by_end=_counts(fields, "ends"),
        broken_by_rule=_counts(fields, "breaks"),
        peak_memory=read_number(read_field(role, "mem_peak_mb"), "memory"),
        mean_cores=read_number(read_field(role, "cpu_mean"), "cores"),
    )


def _rows(fields: dict[str, Any], name: str) -> list[Any]:
    """Return the rows of a table."""
    return read_list(read_field(fields, name), name)


def _counts(fields: dict[str, Any], name: str) -> dict[str, int]:
    """Return counts by name."""
    counts = read_mapping(read_field(fields, name), name)
    return {key: read_integer(count, f"{name} {key}") for key, count in counts.items()}


def _signed(value: object) -> float:
    """Return a worth, which may be below nothing."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise FieldError("worth is not a number")
    return float(value)


def _named_pair(row: object) -> tuple[str, float, float]:
    """Return a name and its two figures."""
    cells = read_list(row, "row")
    if len(cells) != 3:
        raise FieldError(f"a row has {len(cells)} cells instead of 3")
    return read_string(cells[0], "name"), _signed(cells[1]), _signed(cells[2])


def _part(row: object) -> WorthPart:
    """Return a part of the worth."""
    name, weight, earned = _named_pair(row)
    return WorthPart(name=name, weight=weight, earned=earned)


def _price(row: object) -> Price:
    """Return a price."""
    name, amount, worth = _named_pair(row)
    return Price(name=name, amount=amount, worth=worth)


def _group(row: object) -> RequestGroup:
    """Return the requests of a kind or a time."""
    fields = read_mapping(row, "requests")
    return RequestGroup(
        name=read_string(read_field(fields, "name"), "name"),
        asked=read_integer(read_field(fields, "n"), "asked"),
        in_time=read_integer(read_field(fields, "in_aim"), "in time"),
        late=read_integer(read_field(fields, "late"), "late"),
        refused=read_integer(read_field(fields, "refused"), "refused"),
        failed=read_integer(read_field(fields, "failed"), "failed"),
        earned=_signed(read_field(fields, "worth")),
    )
