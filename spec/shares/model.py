"""Processes that share a limit, are told of each other by a holder, and restart."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from minicheck import Protocol

from spec.shares.weakness import ShareWeakness
from spec.shares.world import (
    LIMIT,
    MAX_GAP,
    NOT_HEARD,
    SETTLED,
    TELL_TIME,
    Process,
    ShareWorld,
)

Step = tuple[str, ShareWorld]


def shared_limit(name: str, weakness: ShareWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=ShareWorld._fields,
        initial=ShareWorld(),
        transitions=lambda state: list(_steps(weakness, ShareWorld._make(state))),
        invariants={"within_limit": within_limit},
    )


def within_limit(state: Mapping[str, Any]) -> bool:
    """Return whether no more was spent in the last window than the limit."""
    spent: tuple[int, ...] = state["spent"]
    return sum(spent) <= LIMIT


def _steps(weakness: ShareWeakness, world: ShareWorld) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if sum(world.spent) > LIMIT:
        return
    yield "tick", _tick(weakness, world)
    for number, process in enumerate(world.processes):
        if process != Process():
            yield f"{number} restarts", _with(world, number, Process())
        linked = process._replace(is_linked=not process.is_linked)
        verb = "linked" if linked.is_linked else "cut off"
        yield f"{number} {verb}", _with(world, number, linked)
        left = _share(weakness, process) - sum(process.spent)
        if left > 0:
            yield f"{number} spends", _spend(world, number, left)


def _share(weakness: ShareWeakness, process: Process) -> int:
    """Return what a process may spend within a window."""
    if weakness.spends_at_once:
        settled = 0
    elif weakness.settles_too_soon:
        settled = SETTLED - TELL_TIME - 1
    else:
        settled = SETTLED
    is_cut_off = process.gap > MAX_GAP and not weakness.spends_while_cut_off
    if is_cut_off or process.touch < settled or not process.told:
        return 0
    return LIMIT // process.told


def _tick(weakness: ShareWeakness, world: ShareWorld) -> ShareWorld:
    """Let time pass; the holder counts, and tells those that it hears."""
    counted_gap = 0 if weakness.leaves_out_lost else MAX_GAP
    processes = [_older(weakness, process) for process in world.processes]
    members = sum(process.gap <= counted_gap for process in processes)
    return ShareWorld(
        processes=_sorted(_tell(weakness, process, members) for process in processes),
        spent=(0, *world.spent[:-1]),
    )


def _older(weakness: ShareWeakness, process: Process) -> Process:
    """Return a process one tick later, having heard the holder if it is linked."""
    gap = 0 if process.is_linked else min(process.gap + 1, NOT_HEARD)
    was_in_touch = process.gap <= MAX_GAP or weakness.spends_while_cut_off
    touch = min(process.touch + 1, SETTLED) if was_in_touch else 0
    return process._replace(gap=gap, touch=touch, spent=(0, *process.spent[:-1]))


def _tell(weakness: ShareWeakness, process: Process, members: int) -> Process:
    """Return a process that was told a count, if it hears the holder."""
    if process.gap:
        return process
    greatest = members if weakness.believes_newest else max(process.told, members)
    return process._replace(told=greatest)


def _spend(world: ShareWorld, number: int, amount: int) -> ShareWorld:
    """Have a process spend what is left of its share."""
    process = world.processes[number]
    now, *before = process.spent
    spender = process._replace(spent=(now + amount, *before))
    all_now, *all_before = world.spent
    return _with(world, number, spender)._replace(spent=(all_now + amount, *all_before))


def _with(world: ShareWorld, number: int, process: Process) -> ShareWorld:
    """Return the world with another process."""
    others = (*world.processes[:number], *world.processes[number + 1 :])
    return world._replace(processes=_sorted((process, *others)))


def _sorted(processes: Iterable[Process]) -> tuple[Process, ...]:
    """Return processes in an order that makes worlds equal but for names the same."""
    return tuple(sorted(processes))
