"""One request of a caller, which may take several tries."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.load_class import LoadClass


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRequest:
    """What every try of the request has in common.

    `scheduled` is when it should have been sent first, in monotonic seconds.
    """

    load_class: LoadClass
    key: str | None
    idempotency_key: str | None
    body: bytes
    scheduled: float
