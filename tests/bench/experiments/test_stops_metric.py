"""Tests of reading a metric."""

from __future__ import annotations

import pytest

from swiftpin.bench.exceptions import BenchError
from swiftpin.bench.experiments.stops_metric import read_metric

TEXT = """\
# TYPE swiftpin_requests_in_flight gauge
swiftpin_requests_in_flight 3.0
# TYPE swiftpin_requests counter
swiftpin_requests_total{service="desk"} 7.0
"""


def test_value_is_read() -> None:
    """The sample without labels counts."""
    assert read_metric(TEXT, "swiftpin_requests_in_flight") == 3.0


def test_absent_metric_is_an_error() -> None:
    """A renamed metric must not read as 0."""
    with pytest.raises(BenchError):
        read_metric(TEXT, "swiftpin_requests_total")
