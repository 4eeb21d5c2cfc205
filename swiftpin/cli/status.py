"""Command `status`: shows how the system is."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
import asyncio
from dataclasses import asdict
import time
from typing import Final

from swiftpin.cli.arguments import add_output_argument, seconds_argument
from swiftpin.cli.build_status import build_status
from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.findings import Findings
from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instance_row import InstanceRow
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError
from swiftpin.cli.output import structured_text, table_text, time_text
from swiftpin.cli.output_format import OutputFormat
from swiftpin.cli.service_row import ServiceRow
from swiftpin.cli.status_report import StatusReport
from swiftpin.config.inventory import Inventory
from swiftpin.const import STORE_PREFIX_GROUPS
from swiftpin.exceptions import StoreError
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import decode_record

HELP = "show instances, services and what is not well"
DEFAULT_WATCH: Final = 2.0
"""Seconds between two reports of `--watch`."""


def add_arguments(parser: ArgumentParser) -> None:
    """Add the command's arguments."""
    add_output_argument(parser)
    parser.add_argument(
        "--watch",
        metavar="SECONDS",
        type=seconds_argument,
        nargs="?",
        const=DEFAULT_WATCH,
        help=f"report again and again (default: every {DEFAULT_WATCH:g} s)",
    )


async def async_run(args: Namespace, context: Context) -> ExitStatus:
    """Print one report, or one after the other until interrupted."""
    while True:
        report = build_status(await _async_findings(context))
        if args.watch is not None and args.output is OutputFormat.TABLE:
            print(f"--- {time_text(time.time())}", file=context.out)
        _print(report, args.output, context)
        context.out.flush()
        if args.watch is None:
            return _exit_status(report)
        await asyncio.sleep(args.watch)


async def _async_findings(context: Context) -> Findings:
    """Ask store, instance list and instances; each may be silent."""
    errors: list[str] = []
    inventory, records_by_id = await _async_stored(context, errors)
    return Findings(
        inventory=inventory,
        records_by_id=records_by_id,
        reports=await _async_reports(context, errors),
        errors=errors,
    )


async def _async_stored(
    context: Context, errors: list[str]
) -> tuple[Inventory | None, dict[GroupId, GroupRecord]]:
    """Return declarations and group records; None when the store is silent."""
    records_by_id: dict[GroupId, GroupRecord] = {}
    try:
        inventory = await context.repository.async_read_all()
        listing = await context.store.async_list(STORE_PREFIX_GROUPS, bodies=True)
    except StoreError as err:
        errors.append(f"the store cannot be reached: {err}")
        return None, records_by_id
    for name, item in listing.objects_by_name.items():
        try:
            record = decode_record(item.body)
        except StoreError as err:
            errors.append(f"{name}: {err}")
        else:
            records_by_id[record.id] = record
    return inventory, records_by_id


async def _async_reports(
    context: Context, errors: list[str]
) -> list[InstanceReport] | None:
    """Return the instances' reports; None when the list cannot be read."""
    try:
        return await context.instances.async_reports()
    except InstancesUnavailableError as err:
        errors.append(str(err))
        return None


def _exit_status(report: StatusReport) -> ExitStatus:
    """Return the exit status that the report means."""
    if not report.store_reachable:
        return ExitStatus.STORE_UNREACHABLE
    return ExitStatus.DEGRADED if report.problems else ExitStatus.OK


def _print(report: StatusReport, output_format: OutputFormat, context: Context) -> None:
    """Print the report in the form asked for."""
    if output_format is not OutputFormat.TABLE:
        context.out.write(structured_text(asdict(report), output_format))
        return
    heading = ("INSTANCE", "ZONE", "LISTED", "ANSWER", "IN FORCE", "GROUPS HELD")
    rows = [_instance_cells(row) for row in report.instances]
    context.out.write(table_text(heading, rows) + "\n")
    heading = ("SERVICE", "PROFILE", "GENERATION", "GROUPS HELD", "TARGETS", "STOPPING")
    rows = [_service_cells(row) for row in report.services]
    context.out.write(table_text(heading, rows))
    for problem in report.problems:
        context.note(problem)


def _instance_cells(row: InstanceRow) -> tuple[str, ...]:
    """Return the table's row of an instance."""
    in_force = "?" if row.in_force is None else f"{row.in_force}"
    accepted = "?" if row.accepted is None else f"{row.accepted}"
    return (
        row.name,
        row.zone,
        row.state,
        row.answer,
        f"{in_force}/{accepted}",
        str(row.groups_held),
    )


def _service_cells(row: ServiceRow) -> tuple[str, ...]:
    """Return the table's row of a service."""
    return (
        row.name,
        row.profile,
        str(row.generation),
        f"{row.groups_held}/{row.groups}" if row.keyed else "not keyed",
        str(row.targets),
        str(row.targets_stopping),
    )
