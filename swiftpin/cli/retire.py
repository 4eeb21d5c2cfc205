"""Command `retire`: takes a declaration out of force."""

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
from swiftpin.config.plan import plan_retirement

HELP = "take a declaration out of force"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_name_arguments(parser)
    add_change_arguments(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Retire one declaration; a profile that a service names is refused."""
    config_name = ConfigName(kind=args.kind, name=args.name)
    inventory = await context.repository.async_read_all()
    change = plan_retirement(stored_named(inventory, config_name))
    if config_name.kind is ConfigKind.PROFILE:
        users = inventory.users_of(config_name.name)
        if users:
            raise UsageError(
                f"{config_name.label} is in use by {', '.join(users)}; "
                "give them another profile first"
            )
    return await async_make_changes(
        context, [change], dry_run=args.dry_run, wait=args.wait
    )
