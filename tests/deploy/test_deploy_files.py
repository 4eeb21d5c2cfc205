"""Alert rules, dashboard and operators' pages name metrics that exist."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
import json
from pathlib import Path
import re
from typing import Any

import pytest
import yaml

from swiftpin.config.catalog import Catalog
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GatewayFixture

ROOT = Path(__file__).parents[2]
ALERTS = ROOT / "deploy" / "prometheus" / "alerts.yaml"
DASHBOARD = ROOT / "deploy" / "grafana" / "swiftpin.json"
PAGES = ROOT / "docs" / "operators"
ALERTS_PAGE = PAGES / "alerts.md"
METRIC = re.compile(r"\b(?:swiftpin|process)_[a-z_]+[a-z]\b")
HISTOGRAM_SUFFIXES = ("_bucket", "_sum", "_count")
SEVERITIES = {"page", "ticket"}


@pytest.fixture
async def metric_names() -> AsyncIterator[set[str]]:
    """Return the names of all samples that an instance may give."""
    fixture = GatewayFixture(FakeOwnership(), Catalog())
    await fixture.async_setup()
    registry = fixture.metrics.registry
    registry.register(fixture.collector())
    names: set[str] = set()
    for metric in registry.collect():
        match metric.type:
            case "counter":
                names.add(f"{metric.name}_total")
            case "histogram":
                names.update(metric.name + suffix for suffix in HISTOGRAM_SUFFIXES)
            case _:
                names.add(metric.name)
    yield names
    await fixture.async_unload()


def alert_rules() -> list[dict[str, Any]]:
    """Return the rules of all groups."""
    document = yaml.safe_load(ALERTS.read_text())
    return [rule for group in document["groups"] for rule in group["rules"]]


def dashboard_expressions() -> Iterator[str]:
    """Yield the queries of the dashboard, those of its variables too."""
    document = json.loads(DASHBOARD.read_text())
    for variable in document["templating"]["list"]:
        yield variable["query"]
    for panel in document["panels"]:
        for target in panel["targets"]:
            yield target["expr"]


def used_metrics(text: str) -> set[str]:
    """Return the names in a text that look like metrics."""
    return set(METRIC.findall(text))


def test_alert_rules_use_metrics_that_exist(metric_names: set[str]) -> None:
    """A rule about a renamed metric would never fire."""
    for rule in alert_rules():
        assert used_metrics(rule["expr"]) <= metric_names, rule["alert"]


def test_alert_rules_are_complete() -> None:
    """Each has a severity that the page explains, and a summary."""
    for rule in alert_rules():
        assert rule["labels"]["severity"] in SEVERITIES
        assert rule["annotations"]["summary"]


def test_dashboard_uses_metrics_that_exist(metric_names: set[str]) -> None:
    """A panel about a renamed metric would stay empty."""
    used = used_metrics(" ".join(dashboard_expressions()))
    assert used
    assert used <= metric_names


def test_dashboard_panels_do_not_overlap() -> None:
    """No two panels have an id or a place in common."""
    panels = json.loads(DASHBOARD.read_text())["panels"]
    places = [(panel["gridPos"]["x"], panel["gridPos"]["y"]) for panel in panels]
    assert len(set(places)) == len(panels)
    assert len({panel["id"] for panel in panels}) == len(panels)


def test_alerts_page_explains_every_rule() -> None:
    """The page and the file list the same alerts."""
    explained = re.findall(r"^\| `(Swiftpin\w+)`", ALERTS_PAGE.read_text(), re.M)
    assert sorted(explained) == sorted(rule["alert"] for rule in alert_rules())


@pytest.mark.parametrize("page", sorted(PAGES.glob("*.md")), ids=lambda page: page.name)
def test_pages_name_metrics_that_exist(page: Path, metric_names: set[str]) -> None:
    """Histograms may be named without a suffix."""
    families = {name.removesuffix("_bucket") for name in metric_names}
    assert used_metrics(page.read_text()) <= metric_names | families
