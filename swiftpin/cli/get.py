"""Command `get`: shows declarations in force."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

from swiftpin.cli.arguments import add_output_argument, kind_argument
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.lookup import stored_named
from swiftpin.cli.output import structured_text, table_text, time_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.config.config_name import ConfigName
from swiftpin.config.diff import yaml_text
from swiftpin.config.plan import shown_document
from swiftpin.config.stored_config import StoredConfig

HELP = "show declarations in force"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("kind", type=kind_argument, nargs="?", help="only this kind")
    parser.add_argument("name", nargs="?", help="only this one, retired or not")
    add_output_argument(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Print all declarations, those of a kind, or one."""
    inventory = await context.repository.async_read_all()
    if args.name is None:
        found = inventory.in_force(args.kind)
    else:
        found = [stored_named(inventory, ConfigName(kind=args.kind, name=args.name))]
    context.out.write(_text(found, args.output))
    for fault in inventory.faults_by_id.values():
        context.note(fault)
    return ExitStatus.DEGRADED if inventory.faults_by_id else ExitStatus.OK


def _text(found: Sequence[StoredConfig], output_format: OutputFormat) -> str:
    """Return the declarations in the form asked for."""
    match output_format:
        case OutputFormat.YAML:
            return "---\n".join(_commented_yaml(stored) for stored in found)
        case OutputFormat.JSON:
            return structured_text([_fields(item) for item in found], output_format)
        case _:
            heading = ("KIND", "NAME", "GENERATION", "STATE", "WRITTEN", "AUTHOR")
            return table_text(heading, [_row(stored) for stored in found])


def _commented_yaml(stored: StoredConfig) -> str:
    """Return a document that can be applied again, under a comment."""
    change = stored.change
    state = "retired" if change.retired else "in force"
    comment = (
        f"# generation {change.generation}, {state}, "
        f"{time_text(change.written_at)} by {change.author}\n"
    )
    return comment + yaml_text(shown_document(stored))


def _fields(stored: StoredConfig) -> dict[str, Any]:
    """Return a declaration with the facts of its last change."""
    change = stored.change
    return {
        "generation": change.generation,
        "retired": change.retired,
        "written_at": change.written_at,
        "author": change.author,
        "writer": change.writer,
        "version": stored.version,
        "document": shown_document(stored),
    }


def _row(stored: StoredConfig) -> tuple[str, ...]:
    """Return the table's row."""
    change = stored.change
    return (
        change.id.kind,
        change.id.name,
        str(change.generation),
        "retired" if change.retired else "in force",
        time_text(change.written_at),
        change.author,
    )
