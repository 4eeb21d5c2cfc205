"""Violation: a target executed a request on a slice that it did not own."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.execution import Execution


@dataclass(frozen=True, kw_only=True, slots=True)
class NotOwnedExecution:
    """An execution that started outside its target's ownership."""

    execution: Execution

    def __str__(self) -> str:
        start = self.execution.start
        return f"service={start.service} slice={start.slice} execution={self.execution}"
