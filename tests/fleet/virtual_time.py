"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that advances its clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout and return ready events without waiting."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting; code takes no time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now


def run_in_virtual_time(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine that only waits for timers and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
