"""Forms of the commands' output."""

from __future__ import annotations

from enum import StrEnum


class OutputFormat(StrEnum):
    """A table for people, YAML or JSON for programs."""

    TABLE = "table"
    YAML = "yaml"
    JSON = "json"
