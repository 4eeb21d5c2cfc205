"""Where a key belongs and why."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """What `explain` shows; None where a service without keys has no such thing.

    `why` has one sentence for each step from the key to the target. `instance` is
    the instance that was asked, `instance_says` its answer as it came.
    """

    service: str
    key: str
    profile: str
    request_class: str
    repeatable: bool
    slice_id: int | None = None
    group: int | None = None
    owner: str | None = None
    owner_address: str | None = None
    slice_term: int | None = None
    standby: str | None = None
    term: int | None = None
    revision: int | None = None
    holder: str | None = None
    successor: str | None = None
    why: tuple[str, ...] = ()
    instance: str | None = None
    instance_says: Any = None
