"""Whether accepted changes are in force everywhere."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError
from swiftpin.core import monotonic_now

POLL_INTERVAL: Final = 0.3
"""Seconds between questions to the instances."""


def missing_generations(
    report: InstanceReport, wanted_by_label: Mapping[str, int]
) -> list[str]:
    """Return what a live instance lacks, empty when all is in force there.

    A newer generation counts: what it replaced was in force or will never be.
    """
    name = report.info.name
    if report.status is None:
        return [f"instance {name}: {report.error}"]
    return [
        f"instance {name}: {label} is at generation {present}, not {wanted}"
        for label, wanted in wanted_by_label.items()
        if (present := report.status.generations_by_name.get(label, 0)) < wanted
    ]


async def async_wait_in_force(
    context: Context, wanted_by_label: Mapping[str, int], limit: float
) -> ExitStatus:
    """Wait until every live instance has the generations in force.

    Prints when they all have, or after `limit` seconds what is missing.
    """
    started = monotonic_now()
    while True:
        missing, live = await _async_missing(context, wanted_by_label)
        now = monotonic_now()
        if not missing:
            print(
                f"in force at all {live} live instances after {now - started:.1f} s",
                file=context.out,
            )
            return ExitStatus.OK
        if now - started >= limit:
            break
        await asyncio.sleep(POLL_INTERVAL)
    for line in missing:
        context.note(line)
    context.note(
        f"not in force everywhere after {limit:g} s; it is accepted all the same"
    )
    return ExitStatus.DEGRADED


async def _async_missing(
    context: Context, wanted_by_label: Mapping[str, int]
) -> tuple[list[str], int]:
    """Return what is missing and the number of live instances."""
    try:
        reports = await context.instances.async_reports()
    except InstancesUnavailableError as err:
        return [str(err)], 0
    live = [report for report in reports if not report.info.leaving]
    if not live:
        return ["no live instance is listed"], 0
    missing = [
        line for report in live for line in missing_generations(report, wanted_by_label)
    ]
    return missing, len(live)
