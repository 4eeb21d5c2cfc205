"""Tests of the background tasks of an instance."""

from __future__ import annotations

import asyncio

from swiftpin.router.background_tasks import BackgroundTasks


async def test_failed_task_is_reported() -> None:
    """Guards against an instance that looks healthy although one of its tasks failed.

    Nobody awaits the task, so its exception would stay unnoticed until the shutdown.
    """
    failed = asyncio.Event()
    tasks = BackgroundTasks(on_failed=failed.set)

    async def async_fail() -> None:
        raise RuntimeError("broken")

    tasks.start(async_fail())
    async with asyncio.timeout(5.0):
        await failed.wait()
    await tasks.async_unload()


async def test_unload_cancels_tasks_without_reporting_a_failure() -> None:
    """Cancelling a task on shutdown does not count as a failure."""
    failed = asyncio.Event()
    tasks = BackgroundTasks(on_failed=failed.set)
    ended = asyncio.Event()
    started = asyncio.Event()

    async def async_run_forever() -> None:
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    tasks.start(async_run_forever())
    await started.wait()
    await tasks.async_unload()
    assert ended.is_set()
    assert not failed.is_set()
