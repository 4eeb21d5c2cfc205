"""Shared limit of processes that learn their number from a holder and may restart."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from minicheck import Protocol

from spec.shares.weakness import ShareWeakness
from spec.shares.world import (
    LIMIT,
    MAX_SILENT_TICKS,
    NEVER_HEARD,
    REPORT_DELAY,
    SETTLE_TIME,
    Process,
    ShareWorld,
)

Step = tuple[str, ShareWorld]


def shared_limit(name: str, weakness: ShareWeakness) -> Protocol:
    """Return the protocol with the given weakness."""
    return Protocol(
        name=name,
        candidate=False,
        fields=ShareWorld._fields,
        initial=ShareWorld(),
        transitions=lambda state: list(_steps(weakness, ShareWorld._make(state))),
        invariants={"within_limit": within_limit},
    )


def within_limit(state: Mapping[str, Any]) -> bool:
    """Return whether all processes spent at most the limit in the last window."""
    spent: tuple[int, ...] = state["spent"]
    return sum(spent) <= LIMIT


def _steps(weakness: ShareWeakness, world: ShareWorld) -> Iterator[Step]:
    """Yield every possible next step; none after a violation."""
    if sum(world.spent) > LIMIT:
        return
    yield "tick", _tick(weakness, world)
    for number, process in enumerate(world.processes):
        if process != Process():
            yield f"{number} restarts", _with_process(world, number, Process())
        linked = process._replace(is_linked=not process.is_linked)
        verb = "linked" if linked.is_linked else "cut off"
        yield f"{number} {verb}", _with_process(world, number, linked)
        remaining = _share(weakness, process) - sum(process.spent)
        if remaining > 0:
            yield f"{number} spends", _spend(world, number, remaining)


def _share(weakness: ShareWeakness, process: Process) -> int:
    """Return the amount that a process may spend per window."""
    if weakness.spends_immediately:
        settle_time = 0
    elif weakness.settles_too_soon:
        settle_time = SETTLE_TIME - REPORT_DELAY - 1
    else:
        settle_time = SETTLE_TIME
    is_cut_off = (
        process.silent_ticks > MAX_SILENT_TICKS and not weakness.spends_while_cut_off
    )
    if is_cut_off or process.connected_ticks < settle_time or not process.member_count:
        return 0
    return LIMIT // process.member_count


def _tick(weakness: ShareWeakness, world: ShareWorld) -> ShareWorld:
    """Advance time by one tick; the holder reports its count to connected processes."""
    max_counted_silence = 0 if weakness.ignores_cut_off else MAX_SILENT_TICKS
    processes = [_advance(weakness, process) for process in world.processes]
    members = sum(process.silent_ticks <= max_counted_silence for process in processes)
    return ShareWorld(
        processes=_sorted(
            _report_count(weakness, process, members) for process in processes
        ),
        spent=(0, *world.spent[:-1]),
    )


def _advance(weakness: ShareWeakness, process: Process) -> Process:
    """Return a process one tick later; a linked one has heard from the holder."""
    silent_ticks = (
        0 if process.is_linked else min(process.silent_ticks + 1, NEVER_HEARD)
    )
    was_connected = (
        process.silent_ticks <= MAX_SILENT_TICKS or weakness.spends_while_cut_off
    )
    connected_ticks = (
        min(process.connected_ticks + 1, SETTLE_TIME) if was_connected else 0
    )
    return process._replace(
        silent_ticks=silent_ticks,
        connected_ticks=connected_ticks,
        spent=(0, *process.spent[:-1]),
    )


def _report_count(weakness: ShareWeakness, process: Process, members: int) -> Process:
    """Return a process after a report of the count, if it is linked to the holder."""
    if process.silent_ticks:
        return process
    member_count = (
        members if weakness.uses_newest_count else max(process.member_count, members)
    )
    return process._replace(member_count=member_count)


def _spend(world: ShareWorld, number: int, amount: int) -> ShareWorld:
    """Let a process spend an amount of its share."""
    process = world.processes[number]
    now, *before = process.spent
    spender = process._replace(spent=(now + amount, *before))
    all_now, *all_before = world.spent
    return _with_process(world, number, spender)._replace(
        spent=(all_now + amount, *all_before)
    )


def _with_process(world: ShareWorld, number: int, process: Process) -> ShareWorld:
    """Return the world with one process replaced."""
    others = (*world.processes[:number], *world.processes[number + 1 :])
    return world._replace(processes=_sorted((process, *others)))


def _sorted(processes: Iterable[Process]) -> tuple[Process, ...]:
    """Sort processes, so that worlds that differ only in their order are equal."""
    return tuple(sorted(processes))
