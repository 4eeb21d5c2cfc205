"""Digest of bodies in traces and in the header `X-Body-Digest`."""

from __future__ import annotations

from xxhash import xxh3_64, xxh3_64_hexdigest


def body_digest(body: bytes) -> str:
    """Return the digest of a body as hex."""
    return xxh3_64_hexdigest(body)


class BodyDigest:
    """Digest of a body that comes in pieces."""

    def __init__(self) -> None:
        self._hash = xxh3_64()

    def update(self, chunk: bytes) -> None:
        """Add the next piece."""
        self._hash.update(chunk)

    def hexdigest(self) -> str:
        """Return the digest of all pieces so far as hex."""
        return self._hash.hexdigest()
