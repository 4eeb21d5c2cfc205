"""One request that is offered to a target."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.queue_policy.offered_class import OfferedClass


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferedRequest:
    """A request that arrives `at` and takes `work`, both in virtual seconds."""

    number: int
    at: float
    work: float
    caller: str
    offered_class: OfferedClass

    @property
    def deadline(self) -> float:
        """Return the deadline in virtual seconds."""
        return self.at + self.offered_class.timeout
