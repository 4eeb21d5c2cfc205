"""One execution in a key's state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEntry:
    """What an execution appended; the digest is that of the request's body."""

    request_id: str
    idempotency_key: str | None
    body_digest: str
