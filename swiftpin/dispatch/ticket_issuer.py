"""Tickets under which requests may run while the store is away."""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from secrets import token_bytes
from typing import Final

from swiftpin.core import callback

MAC_BYTES: Final = 16
SECRET_BYTES: Final = 32
MAX_TIME_DIGITS: Final = 16
SEPARATOR: Final = ";"


class TicketIssuer:
    """Issues tickets for one holder at one term, and knows its own again.

    A ticket proves to this holder that it refused the request before, and tells any
    later holder that the request may have run without a record. It is bound to the
    request, to the term and to a secret that dies with the process. `lifetime` in
    seconds is how long records are kept: an older ticket's record may be forgotten.
    """

    def __init__(
        self, holder: str, term: int, lifetime: float, *, secret: bytes | None = None
    ) -> None:
        self._prefix = f"{term}{SEPARATOR}{holder}"
        self._lifetime = lifetime
        self._secret = token_bytes(SECRET_BYTES) if secret is None else secret

    @callback
    def issue(self, key: str, fingerprint: str, now: float) -> str:
        """Return a ticket for a request that was refused."""
        return self._ticket(key, fingerprint, int(now * 1000))

    @callback
    def accepts(self, ticket: str, key: str, fingerprint: str, now: float) -> bool:
        """Return whether this issuer gave the ticket to that request lately."""
        parts = ticket.rsplit(SEPARATOR, 2)
        if not ticket.isascii() or len(parts) != 3:
            return False
        if not parts[1].isdigit() or len(parts[1]) > MAX_TIME_DIGITS:
            return False
        issued_at = int(parts[1])
        if now * 1000 - issued_at > self._lifetime * 1000:
            return False
        expected = self._ticket(key, fingerprint, issued_at)
        return compare_digest(ticket.encode(), expected.encode())

    def _ticket(self, key: str, fingerprint: str, issued_at: int) -> str:
        """Return the ticket of a request at a time in milliseconds."""
        head = f"{self._prefix}{SEPARATOR}{issued_at}"
        mac = blake2b(
            "\0".join((head, key, fingerprint)).encode(errors="surrogateescape"),
            key=self._secret,
            digest_size=MAC_BYTES,
        )
        return f"{head}{SEPARATOR}{mac.hexdigest()}"
