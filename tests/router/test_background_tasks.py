"""Tests of the tasks of an instance."""

from __future__ import annotations

import asyncio

from swiftpin.router.background_tasks import BackgroundTasks


async def test_task_that_breaks_is_told() -> None:
    """Symptom: an instance looked well and followed no changes.

    Sequence: a task raised; nobody awaited it. Cause: its error was kept until the end.
    """
    failed = asyncio.Event()
    tasks = BackgroundTasks(on_failed=failed.set)

    async def async_break() -> None:
        raise RuntimeError("broken")

    tasks.start(async_break())
    async with asyncio.timeout(5.0):
        await failed.wait()
    await tasks.async_unload()


async def test_unload_ends_tasks_without_a_failure() -> None:
    """A planned end is no failure."""
    failed = asyncio.Event()
    tasks = BackgroundTasks(on_failed=failed.set)
    ended = asyncio.Event()
    begun = asyncio.Event()

    async def async_go_on() -> None:
        begun.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    tasks.start(async_go_on())
    await begun.wait()
    await tasks.async_unload()
    assert ended.is_set()
    assert not failed.is_set()
