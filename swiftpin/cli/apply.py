"""Command `apply`: puts declarations in force."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from swiftpin.cli.arguments import add_change_arguments, add_file_arguments
from swiftpin.cli.change_writer import async_make_changes
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.config.load import load_declarations
from swiftpin.config.plan import plan_apply

HELP = "put the declarations of files in force"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_file_arguments(parser)
    parser.add_argument(
        "--prune",
        action="store_true",
        help="also retire the services and profiles that no file declares",
    )
    add_change_arguments(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Load, check, print the diff and apply."""
    declared = load_declarations(args.files)
    inventory = await context.repository.async_read_all()
    changes = plan_apply(declared, inventory, prune=args.prune)
    return await async_make_changes(
        context, changes, dry_run=args.dry_run, wait=args.wait
    )
