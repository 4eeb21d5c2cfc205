"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _JumpingSelector(selectors.DefaultSelector):
    """Advances a clock by the time that it is asked to wait."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return nothing at once; nothing but timers is waited for."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; code takes no time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now


def run_in_virtual_time(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Return what a coroutine returns that uses timers only."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
