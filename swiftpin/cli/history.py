"""Command `history`: shows who changed a declaration and when."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any

from swiftpin.cli.arguments import add_name_arguments, add_output_argument
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.output import structured_text, table_text, time_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.cli.usage_error import UsageError
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject

HELP = "show the kept generations of a declaration"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_name_arguments(parser)
    add_output_argument(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Print the generations, oldest first."""
    config_name = ConfigName(kind=args.kind, name=args.name)
    changes = await context.repository.async_read_history(config_name)
    if not changes:
        raise UsageError(f"there is no {config_name.label}")
    if args.output is OutputFormat.TABLE:
        heading = ("GENERATION", "STATE", "WRITTEN", "AUTHOR", "WRITER")
        text = table_text(heading, [_row(change) for change in changes])
    else:
        text = structured_text([_fields(change) for change in changes], args.output)
    context.out.write(text)
    return ExitStatus.OK


def _row(change: ConfigObject) -> tuple[str, ...]:
    """Return the table's row."""
    return (
        str(change.generation),
        "retired" if change.retired else "declared",
        time_text(change.written_at),
        change.author,
        change.writer,
    )


def _fields(change: ConfigObject) -> dict[str, Any]:
    """Return one generation with its document."""
    return {
        "generation": change.generation,
        "retired": change.retired,
        "written_at": change.written_at,
        "author": change.author,
        "writer": change.writer,
        "document": change.document,
    }
