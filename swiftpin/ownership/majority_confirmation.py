"""What confirms the holder of a fenced group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class MajorityConfirmation:
    """Acknowledgements of the group's targets.

    `acknowledged_at_by_target` maps targets that count to our monotonic time (seconds)
    before the send of the last fence or renewal that they acknowledged.
    `target_sets` holds the present set and, while a change of it is being written,
    the next one; a majority of each is needed.
    """

    acknowledged_at_by_target: Mapping[str, float]
    target_sets: tuple[frozenset[str], ...]
