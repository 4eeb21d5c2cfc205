"""Command `schema`: prints the JSON Schema of declarations."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from swiftpin.cli.arguments import kind_argument
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.output import structured_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.config.schema import json_schema

HELP = "print the JSON Schema of declarations"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("kind", type=kind_argument, nargs="?", help="only this kind")


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Print the schema of one kind, or one that any declaration fits."""
    context.out.write(structured_text(json_schema(args.kind), OutputFormat.JSON))
    return ExitStatus.OK
