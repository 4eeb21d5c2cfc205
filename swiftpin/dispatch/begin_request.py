"""A request that must run at most once, as the journal sees it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginRequest:
    """What is recorded before the request is sent.

    `key` is the caller's idempotency key together with whatever makes it unique in
    the group; `fingerprint` tells two requests under one key apart. `deadline` is
    in monotonic seconds. `ticket` is the value of `Swiftpin-Ticket`, if any.
    """

    key: str
    fingerprint: str
    request_id: str
    deadline: float
    ticket: str | None = None

    @property
    def size(self) -> int:
        """Return the bytes of the recorded texts; UnicodeError when one is none."""
        texts = (self.key, self.fingerprint, self.request_id)
        return sum(len(text.encode()) for text in texts)
