"""Copies of one request at the issuer of their permits."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.permits.permit_request import PermitRequest


@dataclass(eq=False, kw_only=True, slots=True)
class RequestCopy:
    """A request that waits for a permit or has one."""

    request: PermitRequest
    submitted_at: float
    target: str = ""
    """The target that it may be sent to, empty if it is held or not known yet."""

    granted_at: float | None = None
    """Suspend-aware time of its permit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CopyAnswer:
    """An answer to a copy of a request."""

    fingerprint: int
    target: str
    at: float
    """Suspend-aware time."""


@dataclass(kw_only=True, slots=True)
class RequestCopies:
    """The copies of one request, of all callers, as long as there are any."""

    passed: dict[RequestCopy, None] = field(default_factory=dict)
    """Those that are in a queue or have a permit."""

    held: dict[RequestCopy, None] = field(default_factory=dict)
    """Those that are kept from all targets, the first ones first."""

    answers: list[CopyAnswer] = field(default_factory=list)
    """Last answers to copies while there were others."""

    def count_answers(self, fingerprint: int) -> int:
        """Return the number of remembered answers to one caller."""
        return sum(it.fingerprint == fingerprint for it in self.answers)
