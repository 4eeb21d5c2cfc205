"""A share of the load."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.request_kind import RequestKind


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadClass:
    """Requests of one kind to one service.

    `share` is relative to the other classes' shares. `path` comes after the service's
    name; `body_bytes` is the size of a booking's body. Classes without `keyed` go to
    services that are not divided by key. `work_ms` asks the target for a duration of
    work in milliseconds, None for the target's own default.
    """

    name: str
    kind: RequestKind
    service: str
    path: str
    share: float
    keyed: bool = True
    body_bytes: int = 200
    work_ms: int | None = None
