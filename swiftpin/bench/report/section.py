"""Part of a page."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.report.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """What is shown of one result: tables and plots (SVG)."""

    tables: tuple[Table, ...]
    plots: tuple[str, ...]
