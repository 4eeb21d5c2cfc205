"""Violation: a key's requests run on two targets at one time."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.execution import Execution


@dataclass(frozen=True, kw_only=True, slots=True)
class ConcurrentExecutions:
    """Two executions on one key that took effect on two targets and overlap.

    It shows two owners where no grants are recorded or a key changed its slice.
    """

    first: Execution
    second: Execution

    def __str__(self) -> str:
        start = self.first.start
        return (
            f"service={start.service} key={start.key} "
            f"first={self.first} second={self.second}"
        )
