"""Violation: work that must not repeat ran more than once."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.execution import Execution


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutedAgain:
    """Two executions of one idempotency key, each of which ran or may have."""

    first: Execution
    second: Execution

    def __str__(self) -> str:
        start = self.first.start
        return (
            f"service={start.service} idempotency_key={start.idempotency_key} "
            f"first={self.first} second={self.second}"
        )
