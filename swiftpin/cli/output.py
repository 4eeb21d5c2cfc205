"""Text that the commands print."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any, Final, assert_never

import orjson
import yaml

from swiftpin.cli.output_format import OutputFormat

MAX_WIDTH: Final = 1000
"""Characters of a line of YAML; shorter ones would break sentences."""


def table_text(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return rows in columns under a heading, without blanks at the ends of lines."""
    lines = [heading, *rows]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + "\n"
        for line in lines
    )


def structured_text(
    value: Any,  # noqa: ANN401 - any JSON value
    output_format: OutputFormat,
) -> str:
    """Return a value as YAML or indented JSON; a table's place is taken by YAML."""
    match output_format:
        case OutputFormat.JSON:
            return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode() + "\n"
        case OutputFormat.YAML | OutputFormat.TABLE:
            return yaml.safe_dump(
                value, sort_keys=False, allow_unicode=True, width=MAX_WIDTH
            )
        case _:
            assert_never(output_format)


def time_text(unix_seconds: float) -> str:
    """Return a moment in UTC to the second."""
    moment = datetime.fromtimestamp(unix_seconds, tz=UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
