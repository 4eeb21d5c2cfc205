"""Answer that the demonstration got."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.result import ResultCode


@dataclass(frozen=True, kw_only=True, slots=True)
class DemoAnswer:
    """Status, result and body of an answer, and which target gave it."""

    status: int
    result: ResultCode | None
    target: str | None
    body: bytes

    @property
    def is_answered(self) -> bool:
        """Return whether a target answered, now or at an earlier send."""
        return self.result in (ResultCode.ANSWERED, ResultCode.REPLAYED)
