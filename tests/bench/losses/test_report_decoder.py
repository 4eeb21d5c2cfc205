"""Tests of reading the report of a played day."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from swiftpin.bench.losses.report_decoder import decode_day_report
from swiftpin.helpers.json_fields import FieldError
from tests.bench.losses.reports import make_report


def decode(report: dict[str, Any]) -> object:
    """Return a report that was read from its JSON."""
    return decode_day_report(orjson.dumps(report))


def test_report_is_read() -> None:
    """Names of the report become those of this project."""
    report = decode_day_report(orjson.dumps(make_report()))
    assert (report.worth, report.instances) == (0.5, 10)
    assert report.parts[0].lost == pytest.approx(0.06)
    assert [(price.name, price.amount) for price in report.prices] == [("calls", 200)]
    assert report.kinds[0].refused == 3
    assert report.tries_by_end == {"200": 90, "503": 10}


@pytest.mark.parametrize("name", ["G", "parts", "prices", "nodes", "ends", "classes"])
def test_report_without_a_field_is_refused_by_its_name(name: str) -> None:
    """A table of figures that are not there would mislead."""
    report = make_report()
    del report[name]
    with pytest.raises(FieldError, match=name):
        decode(report)


@pytest.mark.parametrize(
    ("name", "value"),
    [("parts", [["whole day", 0.6]]), ("prices", [[1, 2, 3]]), ("nodes", [])],
)
def test_row_of_another_shape_is_refused(name: str, value: object) -> None:
    """A report of another version is not read halfway."""
    with pytest.raises(FieldError):
        decode({**make_report(), name: value})


def test_text_that_is_no_report_is_refused() -> None:
    """A log given for a report is told as such."""
    with pytest.raises(FieldError, match="not JSON"):
        decode_day_report(b"built in 0.1 s")
