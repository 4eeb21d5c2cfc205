"""An execution put together from its events."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.start_event import StartEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """A start and its end; `end` is None when the target died or was still at it."""

    start: StartEvent
    end: ExecuteEvent | None

    @property
    def is_done(self) -> bool:
        """Return whether the execution certainly took effect."""
        return self.end is not None and self.end.outcome is ExecutionOutcome.DONE

    @property
    def may_have_run(self) -> bool:
        """Return whether the execution took effect or may have.

        Executions that ended as aborted or lapsed have changed nothing.
        """
        if self.end is None:
            return True
        return self.end.outcome in (ExecutionOutcome.DONE, ExecutionOutcome.CRASHED)

    @property
    def is_refused(self) -> bool:
        """Return whether the target called the request refused in the end."""
        return self.end is not None and self.end.outcome is ExecutionOutcome.LAPSED

    @property
    def sent_digest(self) -> str | None:
        """Return the digest of the answer, None if it was not sent whole."""
        return None if self.end is None else self.end.body_digest

    def __str__(self) -> str:
        start = self.start
        end = "none" if self.end is None else f"{self.end.end:.6f}"
        outcome = "none" if self.end is None else self.end.outcome.value
        return (
            f"{start.request_id}@{start.target}/{start.boot_id}"
            f"[{start.start:.6f},{end},{outcome}]"
        )
