"""The router's alert rules and page name metrics that exist."""

from __future__ import annotations

import io
import json
from pathlib import Path
import re
from typing import Any

import pytest
import yaml

from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.router.metrics import FAILED_RESULTS, Metrics

ROOT = Path(__file__).parents[2]
ALERTS = ROOT / "deploy" / "prometheus" / "router_alerts.yaml"
DASHBOARD = ROOT / "deploy" / "grafana" / "router.json"
PAGE = ROOT / "docs" / "OPERATIONS.md"
METRIC = re.compile(r"\bswiftpin_router_[a-z_]+[a-z]\b")


def rules() -> list[dict[str, Any]]:
    """Return the rules of all groups."""
    document = yaml.safe_load(ALERTS.read_text())
    return [rule for group in document["groups"] for rule in group["rules"]]


@pytest.fixture(name="metric_names")
def metric_names_fixture() -> set[str]:
    """Return the names of all samples that a router may give."""
    names: set[str] = set()
    metrics = Metrics()
    metrics.set_log_writer(LineWriter(io.BytesIO()))
    for metric in metrics.registry.collect():
        names.add(metric.name)
        if metric.type == "counter":
            names.add(f"{metric.name}_total")
        if metric.type == "histogram":
            names.add(f"{metric.name}_bucket")
    return names


def test_rules_use_metrics_that_exist(metric_names: set[str]) -> None:
    """A rule about a renamed metric would never fire."""
    for rule in rules():
        used = set(METRIC.findall(rule["expr"]))
        assert used
        assert used <= metric_names, rule["alert"]


def test_dashboard_uses_metrics_that_exist(metric_names: set[str]) -> None:
    """A panel about a renamed metric would stay empty."""
    panels = json.loads(DASHBOARD.read_text())["panels"]
    for panel in panels:
        for target in panel["targets"]:
            used = set(METRIC.findall(target["expr"]))
            assert used
            assert used <= metric_names, panel["title"]
    assert len({panel["id"] for panel in panels}) == len(panels)


def test_page_names_metrics_that_exist(metric_names: set[str]) -> None:
    """An engineer looks for what the page names."""
    assert set(METRIC.findall(PAGE.read_text())) <= metric_names


def test_page_names_events_that_exist() -> None:
    """Symptom: a command of the page found nothing in any log.

    Sequence: an event was renamed in the code. Cause: nothing joined the two.
    """
    known = {"request", "log", "lines_dropped"}
    for source in (ROOT / "swiftpin").rglob("*.py"):
        known |= set(re.findall(r'message_type="(\w+)"', source.read_text()))
        known |= set(re.findall(r'"(move_\w+)" if granted', source.read_text()))
        known |= set(re.findall(r'granted else "(move_\w+)"', source.read_text()))
    text = PAGE.read_text()
    named = set(re.findall(r"event=(\w+)", text)) - {"move_"}
    table = text.partition("## Dependencies and roles")[2].partition("## ")[0]
    for row in re.findall(r"^\| (`.*?`) \|", table, re.M):
        named |= set(re.findall(r"`(\w+)`", row))
    assert named
    assert named <= known


def test_page_names_results_and_reasons_that_exist() -> None:
    """An engineer looks for `outcome` and counts by `reason`."""
    text = PAGE.read_text()
    results = {result.name for result in FAILED_RESULTS}
    assert set(re.findall(r"outcome=([A-Z_]+)", text)) <= results
    first_cells = re.findall(r"^\| (`[A-Z_]+`.*?) \|", text, re.M)
    named = {name for cell in first_cells for name in re.findall(r"`([A-Z_]+)`", cell)}
    assert named
    assert named <= results


def test_each_alert_is_explained() -> None:
    """Whoever is woken finds the alert's name on the page."""
    text = PAGE.read_text()
    for rule in rules():
        assert rule["labels"]["severity"] in {"page", "ticket"}
        assert rule["annotations"]["summary"]
        assert f"`{rule['alert']}`" in text, rule["alert"]
