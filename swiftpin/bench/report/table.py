"""Tables in HTML and Markdown."""

from __future__ import annotations

from dataclasses import dataclass
from html import escape


def format_cell(value: object) -> str:
    """Return a value as text; numbers get three significant figures or none lost."""
    match value:
        case bool() | str():
            return str(value)
        case float() if abs(value) >= 100:
            return f"{value:,.0f}"
        case float():
            return f"{value:.3g}"
        case int():
            return f"{value:,}"
        case None:
            return "not measured"
        case _:
            return str(value)


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """Column titles and rows of equal length."""

    titles: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]

    def html(self) -> str:
        """Return the table in HTML."""
        head = "".join(f"<th>{escape(title)}</th>" for title in self.titles)
        rows = "".join(self._html_row(row) for row in self.rows)
        return f"<table><tr>{head}</tr>{rows}</table>"

    def markdown(self) -> str:
        """Return the table in Markdown, with a line end."""
        lines = [
            self._markdown_row(self.titles),
            self._markdown_row(("---",) * len(self.titles)),
            *(self._markdown_row(row) for row in self.rows),
        ]
        return "\n".join(lines) + "\n"

    @staticmethod
    def _html_row(row: tuple[object, ...]) -> str:
        """Return one row in HTML."""
        cells = "".join(f"<td>{escape(format_cell(value))}</td>" for value in row)
        return f"<tr>{cells}</tr>"

    @staticmethod
    def _markdown_row(row: tuple[object, ...]) -> str:
        """Return one row in Markdown."""
        return "| " + " | ".join(format_cell(value) for value in row) + " |"
