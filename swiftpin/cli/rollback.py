"""Command `rollback`: puts the contents of an earlier generation in force again."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from swiftpin.cli.arguments import add_change_arguments, add_name_arguments
from swiftpin.cli.change_writer import async_make_changes
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.lookup import stored_named
from swiftpin.cli.usage_error import UsageError
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.document import document_of
from swiftpin.config.parse import parse_document
from swiftpin.config.plan import plan_document
from swiftpin.config.rules import forbidden_changes, unknown_profile

HELP = "put the contents of an earlier generation in force again"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_name_arguments(parser)
    parser.add_argument(
        "--to",
        metavar="GENERATION",
        type=int,
        required=True,
        help="generation whose contents to use; the change gets a new generation",
    )
    add_change_arguments(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Make a new generation with old contents."""
    config_name = ConfigName(kind=args.kind, name=args.name)
    inventory = await context.repository.async_read_all()
    before = stored_named(inventory, config_name)
    earlier = await _async_generation(context, config_name, args.to)
    model = parse_document(config_name, earlier.document)
    problems = [
        *unknown_profile(model, inventory.names(ConfigKind.PROFILE)),
        *forbidden_changes(model, before.change),
    ]
    if problems:
        raise UsageError("; ".join(str(problem) for problem in problems))
    change = plan_document(config_name, document_of(model), before)
    return await async_make_changes(
        context, [change], dry_run=args.dry_run, wait=args.wait
    )


async def _async_generation(
    context: Context, config_name: ConfigName, generation: int
) -> ConfigObject:
    """Return one kept generation that declares something."""
    changes = await context.repository.async_read_history(config_name)
    changes_by_generation = {change.generation: change for change in changes}
    change = changes_by_generation.get(generation)
    if change is None:
        kept = ", ".join(str(item) for item in changes_by_generation)
        raise UsageError(
            f"{config_name.label} generation {generation} is not kept; kept are {kept}"
        )
    if change.retired:
        raise UsageError(
            f"{config_name.label} generation {generation} retired it; use retire"
        )
    return change
