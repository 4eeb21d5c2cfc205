"""Fingerprint that tells requests of different content apart."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest

from swiftpin.core import callback


@callback
def request_fingerprint(
    service: str, key: str, method: str, path: str, body_digest: str
) -> str:
    """Return 32 hex digits; the same request gives the same ones on any instance.

    `path` includes the query, `body_digest` is any digest of the whole body.
    """
    parts = (service, key, method, path, body_digest)
    return xxh3_128_hexdigest("\0".join(parts).encode(errors="surrogateescape"))
