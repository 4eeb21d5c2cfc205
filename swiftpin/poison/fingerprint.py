"""Fingerprints of requests, by which resends are recognised."""

from __future__ import annotations

from typing import Final

from xxhash import xxh3_64_intdigest

CALLER_BITS: Final = 24
"""Lowest bits of a fingerprint, which tell callers of the same resource apart."""

CALLER_MASK: Final = (1 << CALLER_BITS) - 1


def compute_fingerprint(
    *, caller: int, method: str, host: str, path: str, key: int | None, body: bytes
) -> int:
    """Return a fingerprint that is the same for every resend, whatever its id.

    `path` includes the query, `body` is the beginning of the body. Callers are told
    apart, since a request may crash targets for one of them and be sound for others.
    """
    head = f"{method}\0{host.lower()}\0{path}\0{key}"
    digest = xxh3_64_intdigest(b"\0".join((head.encode(), body)))
    return digest & ~CALLER_MASK | caller & CALLER_MASK


def group_of(fingerprint: int) -> int:
    """Return what the fingerprints of all callers of a request have in common."""
    return fingerprint >> CALLER_BITS


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as it stands in log lines."""
    return f"{fingerprint:016x}"
