"""Command `stop`: plans, lists and cancels stops of instances and targets."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any

from swiftpin.cli.arguments import (
    add_change_arguments,
    add_output_argument,
    seconds_argument,
)
from swiftpin.cli.change_writer import async_make_changes
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError
from swiftpin.cli.lookup import stored_named
from swiftpin.cli.output import structured_text, table_text, time_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.cli.usage_error import UsageError
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.document import document_of
from swiftpin.config.inventory import Inventory
from swiftpin.config.models.declaration_models import API_VERSION
from swiftpin.config.parse import parse_document
from swiftpin.config.plan import plan_document, plan_retirement, shown_document
from swiftpin.config.stored_config import StoredConfig
from swiftpin.config.suggestion import did_you_mean

HELP = "plan, list and cancel stops of instances and targets"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's own commands."""
    commands = parser.add_subparsers(dest="stop_command", required=True)
    plan = commands.add_parser("plan", help="order a planned stop")
    plan.add_argument("--instance", help="instance to stop")
    plan.add_argument("--service", help="service of the target to stop")
    plan.add_argument("--target", help="target to stop")
    plan.add_argument("--name", help="name of the order (default: made of the others)")
    plan.add_argument(
        "--limit",
        metavar="SECONDS",
        type=seconds_argument,
        help="how long requests in flight may take to end (default: 600)",
    )
    add_change_arguments(plan)
    plan.set_defaults(run_stop=_async_plan)
    listing = commands.add_parser("list", help="show the stops in force")
    add_output_argument(listing)
    listing.set_defaults(run_stop=_async_list)
    cancel = commands.add_parser("cancel", help="take an order back")
    cancel.add_argument("name", help="name of the order")
    add_change_arguments(cancel)
    cancel.set_defaults(run_stop=_async_cancel)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Carry out the chosen command."""
    status: ExitStatus = await args.run_stop(args, context)
    return status


async def _async_plan(args: Namespace, context: Context) -> ExitStatus:
    """Order a stop; the same order again changes nothing."""
    inventory = await context.repository.async_read_all()
    if args.instance is not None:
        await _async_check_instance(context, args.instance)
    if args.service is not None and args.target is not None:
        _check_target(inventory, args.service, args.target)
    config_name = ConfigName(kind=ConfigKind.PLANNED_STOP, name=_order_name(args))
    model = parse_document(config_name, _document(args, config_name.name))
    before = inventory.stored_by_id.get(config_name)
    change = plan_document(config_name, document_of(model), before)
    return await async_make_changes(
        context, [change], dry_run=args.dry_run, wait=args.wait
    )


async def _async_list(args: Namespace, context: Context) -> ExitStatus:
    """Print the stops in force."""
    inventory = await context.repository.async_read_all()
    stops = inventory.in_force(ConfigKind.PLANNED_STOP)
    if args.output is OutputFormat.TABLE:
        heading = ("NAME", "STOPS", "LIMIT", "ORDERED", "AUTHOR")
        text = table_text(heading, [_row(stored) for stored in stops])
    else:
        documents = [shown_document(stored) for stored in stops]
        text = structured_text(documents, args.output)
    context.out.write(text)
    return ExitStatus.OK


async def _async_cancel(args: Namespace, context: Context) -> ExitStatus:
    """Take an order back."""
    inventory = await context.repository.async_read_all()
    config_name = ConfigName(kind=ConfigKind.PLANNED_STOP, name=args.name)
    change = plan_retirement(stored_named(inventory, config_name))
    return await async_make_changes(
        context, [change], dry_run=args.dry_run, wait=args.wait
    )


async def _async_check_instance(context: Context, instance: str) -> None:
    """Refuse an instance that is not listed, as far as the list can be read.

    The list lags, and an order for an instance that comes later does no harm, so
    without the list the order goes ahead with a note.
    """
    if not context.instances_url:
        return
    try:
        infos = await context.instances.async_list()
    except InstancesUnavailableError as err:
        context.note(f"{instance} is not checked: {err}")
        return
    names = [info.name for info in infos]
    if instance not in names:
        hint = did_you_mean(instance, names)
        raise UsageError(f"no instance {instance} is listed{hint}")


def _check_target(inventory: Inventory, service: str, target: str) -> None:
    """Refuse a target that no service in force declares."""
    models_by_name = {model.metadata.name: model for model in inventory.services()}
    model = models_by_name.get(service)
    if model is None:
        hint = did_you_mean(service, models_by_name)
        raise UsageError(f"there is no service {service}{hint}")
    targets = [item.id for item in model.spec.targets]
    if target not in targets:
        hint = did_you_mean(target, targets)
        raise UsageError(f"service {service} has no target {target}{hint}")


def _order_name(args: Namespace) -> str:
    """Return the order's name, made of what stops unless it was given."""
    if args.name is not None:
        return str(args.name)
    parts = (args.instance, args.service, args.target)
    return "stop-" + "-".join(part for part in parts if part is not None)


def _document(args: Namespace, name: str) -> dict[str, Any]:
    """Return the declaration of the order."""
    fields = ("instance", "service", "target", "limit")
    spec = {field: getattr(args, field) for field in fields}
    return {
        "apiVersion": API_VERSION,
        "kind": "PlannedStop",
        "metadata": {"name": name},
        "spec": {field: value for field, value in spec.items() if value is not None},
    }


def _row(stored: StoredConfig) -> tuple[str, ...]:
    """Return the table's row."""
    spec = shown_document(stored)["spec"]
    stops = (
        f"instance {spec['instance']}"
        if "instance" in spec
        else f"target {spec['service']}/{spec['target']}"
    )
    change = stored.change
    return (
        change.id.name,
        stops,
        f"{spec.get('limit', 0):g} s",
        time_text(change.written_at),
        change.author,
    )
