"""Request of the demonstration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class DemoRequest:
    """One request; `path` begins with the service."""

    method: str
    path: str
    key: str | None = None
    idempotency_key: str | None = None
    body: bytes = b""

    @property
    def text(self) -> str:
        """Return the request in one line."""
        parts = [self.method, f"/{self.path}"]
        if self.key is not None:
            parts.append(f"key={self.key}")
        if self.idempotency_key is not None:
            parts.append(f"idempotency-key={self.idempotency_key}")
        return " ".join(parts)
