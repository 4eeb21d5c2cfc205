"""Command `diff`: shows what `apply` would change."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from swiftpin.cli.arguments import add_file_arguments
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.diff import diff_text
from swiftpin.config.load import load_declarations
from swiftpin.config.plan import plan_apply

HELP = "show what apply would change; exit 1 if anything"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_file_arguments(parser)
    parser.add_argument(
        "--prune", action="store_true", help="as apply --prune would change it"
    )


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Print the differences between the files and the store."""
    declared = load_declarations(args.files)
    inventory = await context.repository.async_read_all()
    changes = plan_apply(declared, inventory, prune=args.prune)
    for change in changes:
        context.out.write(diff_text(change))
    if all(change.kind is ChangeKind.UNCHANGED for change in changes):
        return ExitStatus.OK
    return ExitStatus.DEGRADED
