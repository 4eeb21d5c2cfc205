"""Faults of the object store."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.standins.base_faults import BaseFaults


@dataclass(kw_only=True, slots=True)
class StoreFaults(BaseFaults):
    """Faults of the store.

    The next `lose_answer_next` writes, and of the others the share
    `lose_answer_share` (0 to 1), take effect but their connection is dropped in place
    of an answer. Reads show the state of `stale_reads_ms` milliseconds ago. Calls
    whose header `Swiftpin-Instance` is an instance id in `blocked_clients`, or starts
    with an instance name in it, lose their connection without effect.
    """

    lose_answer_next: int = 0
    lose_answer_share: float = 0.0
    stale_reads_ms: float = 0.0
    blocked_clients: list[str] = field(default_factory=list)
