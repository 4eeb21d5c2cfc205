"""Making of planned changes, with a report of each."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import time
from uuid import uuid4

from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.in_force import async_wait_in_force
from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.diff import diff_text
from swiftpin.config.planned_change import PlannedChange
from swiftpin.config.write_outcome import WriteOutcome


async def async_make_changes(
    context: Context,
    changes: Sequence[PlannedChange],
    *,
    dry_run: bool = False,
    wait: float | None = None,
) -> ExitStatus:
    """Print the diff, make the changes in their order and wait if told to.

    `wait` is in seconds, None for no waiting. The first change that fails ends the
    run, as later ones may build upon it; its error is raised.
    """
    if wait is not None:
        # Asked for here, so that an absent address is noticed before any write.
        _ = context.instances
    for change in changes:
        context.out.write(diff_text(change))
    if dry_run:
        return ExitStatus.OK
    for position, change in enumerate(changes):
        await _async_make(context, change, later=changes[position + 1 :])
    if wait is None:
        return ExitStatus.OK
    wanted_by_label = {change.id.label: change.generation for change in changes}
    return await async_wait_in_force(context, wanted_by_label, wait)


async def _async_make(
    context: Context, change: PlannedChange, *, later: Sequence[PlannedChange]
) -> None:
    """Make one change and print what became of it."""
    if change.kind is ChangeKind.UNCHANGED:
        _print(context, change, "unchanged")
        return
    signed = change.signed(
        author=context.author, writer=uuid4().hex, written_at=time.time()
    )
    try:
        outcome = await context.repository.async_write(signed, change.before)
    except asyncio.CancelledError:
        context.note(_interruption(signed))
        raise
    except Exception:
        _print_not_made(context, later)
        raise
    if outcome is WriteOutcome.READ_BACK:
        context.note(
            f"the store's answer about {change.id.label} was lost; read back: "
            "the change took effect"
        )
    _print(context, change, f"{change.kind}d")


def _print(context: Context, change: PlannedChange, deed: str) -> None:
    """Print one line about a change."""
    line = f"{change.id.label} generation {change.generation} {deed}"
    print(line, file=context.out, flush=True)


def _print_not_made(context: Context, later: Sequence[PlannedChange]) -> None:
    """Print the changes that were not tried because one before them failed."""
    for change in later:
        if change.kind is not ChangeKind.UNCHANGED:
            print(f"{change.id.label} not tried", file=context.out, flush=True)


def _interruption(change: ConfigObject) -> str:
    """Return what to tell an operator who interrupted a write."""
    return (
        f"interrupted while {change.id.label} generation {change.generation} was being "
        f"written (writer {change.writer}); whether it took effect is shown by "
        f"swiftpin history {change.id.kind} {change.id.name}"
    )
