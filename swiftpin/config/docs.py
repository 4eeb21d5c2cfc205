"""Writer of the operators' page on declarations: `python -m swiftpin.config.docs`."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.models.declaration_models import KINDS_BY_WORD, MODELS_BY_KIND
from swiftpin.config.schema import json_schema
from swiftpin.config.schema_field import schema_fields

DEFAULT_PAGE: Final = Path("docs/operators/declarations.md")

HEADING: Final = """\
# Declarations

<!-- Written by `python -m swiftpin.config.docs` from the models; do not edit. -->

Each YAML document declares one service, profile or planned stop; a file may hold
several. A document replaces the one of the same `kind` and `metadata.name`. Unknown
fields, repeated fields and values of another type are refused with the file and line
where they stand. `examples/` has declarations to start from,
[declarations-how-to.md](declarations-how-to.md) says how to apply, follow and undo
them, and `swiftpin schema` prints the same as JSON Schema.
"""


def declarations_page() -> str:
    """Return the page as Markdown."""
    parts = [HEADING]
    parts += [_section(word, kind) for word, kind in KINDS_BY_WORD.items()]
    return "\n".join(parts)


def main(argv: Sequence[str] | None = None) -> int:
    """Write the page to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("page", nargs="?", type=Path, default=DEFAULT_PAGE)
    page = parser.parse_args(argv).page
    page.parent.mkdir(parents=True, exist_ok=True)
    page.write_text(declarations_page(), encoding="utf-8")
    return 0


def _section(word: str, kind: ConfigKind) -> str:
    """Return the section of one kind."""
    lines = [
        f"## {word}",
        "",
        f"{MODELS_BY_KIND[kind].__doc__}",
        "",
        "| Field | Type | Unit, default, effect |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| `{field.path}` | {_cell(field.type)} | {_cell(field.description)} |"
        for field in schema_fields(json_schema(kind))
    ]
    return "\n".join(lines) + "\n"


def _cell(text: str) -> str:
    """Return text that ends no cell of a table."""
    return text.replace("|", "\\|")


if __name__ == "__main__":
    raise SystemExit(main())
