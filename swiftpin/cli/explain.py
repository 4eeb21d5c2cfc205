"""Command `explain`: shows where a key belongs and why."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from dataclasses import asdict, replace

from swiftpin.cli.arguments import add_output_argument
from swiftpin.cli.build_explanation import explain_keyed, explain_unkeyed, group_of
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.explanation import Explanation
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError
from swiftpin.cli.output import structured_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.cli.usage_error import UsageError
from swiftpin.config.catalog import Catalog
from swiftpin.config.inventory import Inventory
from swiftpin.config.service import Service
from swiftpin.config.suggestion import did_you_mean
from swiftpin.exceptions import PeerError
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import decode_record

HELP = "show where a key belongs and why"


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("service", help="name of the service")
    parser.add_argument("key", help="key as callers send it")
    parser.add_argument("--method", default="GET", help="method (default: GET)")
    parser.add_argument(
        "--path", default="/", help="path after the service (default: /)"
    )
    parser.add_argument("--instance", help="instance to ask (default: the holder)")
    add_output_argument(parser)


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Derive the owner from the store and ask an instance what it knows."""
    catalog = _catalog(await context.repository.async_read_all())
    service = catalog.service(args.service)
    if service is None:
        hint = did_you_mean(args.service, catalog.services_by_name)
        raise UsageError(f"there is no service {args.service}{hint}")
    profile = catalog.profile_of(service)
    request_class = catalog.request_class(profile, args.method.upper(), args.path)
    if service.keyed:
        record = await _async_record(context, service, args.key)
        explanation = explain_keyed(service, profile, request_class, args.key, record)
    else:
        explanation = explain_unkeyed(service, profile, request_class, args.key)
    explanation = await _async_ask(context, explanation, args.instance)
    context.out.write(_text(explanation, args.output))
    return ExitStatus.OK


def _catalog(inventory: Inventory) -> Catalog:
    """Return the view that an instance has once it adopted everything."""
    catalog = Catalog()
    for stored in inventory.stored_by_id.values():
        catalog.adopt(stored.change)
    return catalog


async def _async_record(
    context: Context, service: Service, key: str
) -> GroupRecord | None:
    """Return the record of the key's group."""
    item = await context.store.async_get(group_of(service, key).store_name)
    return None if item is None else decode_record(item.body)


async def _async_ask(
    context: Context, explanation: Explanation, instance: str | None
) -> Explanation:
    """Return the explanation with an instance's answer, if one can be reached."""
    if not context.instances_url:
        return explanation
    try:
        infos = await context.instances.async_list()
    except InstancesUnavailableError as err:
        context.note(str(err))
        return explanation
    info = _asked_instance(infos, explanation, instance)
    if info is None:
        return explanation
    try:
        answer = await context.instances.async_explain(
            info, explanation.service, explanation.key
        )
    except PeerError as err:
        context.note(f"instance {info.name}: {err}")
        return explanation
    return replace(explanation, instance=info.name, instance_says=answer)


def _asked_instance(
    infos: list[InstanceInfo], explanation: Explanation, instance: str | None
) -> InstanceInfo | None:
    """Return the instance that was named, else the holder, else the first live one."""
    infos_by_name = {info.name: info for info in infos}
    if instance is not None:
        if instance not in infos_by_name:
            hint = did_you_mean(instance, infos_by_name)
            raise UsageError(f"no instance {instance} is listed{hint}")
        return infos_by_name[instance]
    holder = (explanation.holder or "").partition("/")[0]
    if holder in infos_by_name:
        return infos_by_name[holder]
    return next((info for info in infos if not info.leaving), None)


def _text(explanation: Explanation, output_format: OutputFormat) -> str:
    """Return the explanation in the form asked for, as YAML lines for people."""
    fields = asdict(explanation)
    fields["why"] = list(explanation.why)
    if output_format is OutputFormat.TABLE:
        fields = {name: value for name, value in fields.items() if value is not None}
    return structured_text(fields, output_format)
