"""The operators' pages name every setting and every metric."""

from __future__ import annotations

from dataclasses import MISSING, fields
from pathlib import Path
import re

from prometheus_client import CollectorRegistry

from swiftpin.gateway.arguments import build_parser
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.settings import Settings
from tests.gateway.gateway_fixture import GatewayFixture

OPERATORS = Path(__file__).parents[2] / "docs" / "operators"


def table(page: str) -> dict[str, list[str]]:
    """Return the cells of a page's rows by what their first cell quotes."""
    cells_by_name = {}
    for line in (OPERATORS / page).read_text().splitlines():
        match = re.match(r"\| `([^`]+)` \|", line)
        if match is not None:
            cells_by_name[match[1]] = [cell.strip() for cell in line.split("|")[2:]]
    return cells_by_name


def metric_names(registry: CollectorRegistry) -> set[str]:
    """Return the names of swiftpin's own metrics as they are scraped."""
    names = set()
    for metric in registry.collect():
        if metric.name.startswith("swiftpin_"):
            suffix = "_total" if metric.type == "counter" else ""
            names.add(metric.name + suffix)
    return names


def test_settings_page_names_every_flag_with_its_default() -> None:
    """The page and the settings agree."""
    cells_by_flag = {
        name: cells for name, cells in table("settings.md").items() if name[:2] == "--"
    }
    flags = {
        action.option_strings[-1]
        for action in build_parser()._actions
        if action.dest != "help"
    }
    assert set(cells_by_flag) == flags
    for field in fields(Settings):
        stated = cells_by_flag["--" + field.name.replace("_", "-")][0]
        if field.default is MISSING:
            assert stated == "needed"
        elif field.default is None:
            assert stated == "none"
        else:
            assert stated == str(field.default)


async def test_metrics_page_names_every_metric(gateway: GatewayFixture) -> None:
    """The page and what is scraped agree."""
    registry = gateway.metrics.registry
    registry.register(gateway.collector())
    assert set(table("metrics.md")) == metric_names(registry)


def test_metrics_of_two_instances_do_not_meet() -> None:
    """Each instance has a registry of its own."""
    assert Metrics().registry is not Metrics().registry
