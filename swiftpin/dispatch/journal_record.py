"""One record of a journal as it is kept in the store."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.unknown import Unknown


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalRecord:
    """A request that began, and its outcome, None while it runs.

    `changed_at` is the wall time of the last change in milliseconds since the
    epoch, since monotonic times of another instance mean nothing here.
    """

    key: str
    fingerprint: str
    request_id: str
    changed_at: int
    outcome: Answered | Unknown | None
