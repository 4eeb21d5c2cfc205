"""Reads one metric out of Prometheus' text form."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from swiftpin.bench.exceptions import BenchError


def read_metric(text: str, name: str) -> float:
    """Return the value of a sample without labels; raises `BenchError` if absent."""
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == name and not sample.labels:
                return float(sample.value)
    raise BenchError(f"there is no metric {name}")
