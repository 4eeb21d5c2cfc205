"""Headers of a forwarded request and of its answer, the same for both ways."""

from __future__ import annotations

from typing import Final

from multidict import CIMultiDict

HEADER_ANSWER_BYTES: Final = "X-Answer-Bytes"
"""How many bytes of body the holder answers with."""

CHUNK: Final = 64 * 1024
"""Bytes; larger bodies are passed on piece by piece, as the gateway does."""

ANSWER_HEADERS: Final = (
    ("Content-Type", "application/json"),
    ("Swiftpin-Result", "100"),
    ("Swiftpin-Request-Id", "0123456789ab-1f"),
    ("Date", "Wed, 02 Dec 2026 19:00:00 GMT"),
    ("Server", "target"),
)


def request_headers(address: str, answer_bytes: int) -> CIMultiDict[str]:
    """Return the headers of a request to the holder."""
    return CIMultiDict(
        [
            ("Accept", "*/*"),
            ("Accept-Encoding", "gzip, deflate"),
            ("User-Agent", "caller/1.0"),
            ("Host", address),
            ("Swiftpin-Request-Id", "0123456789ab-1f"),
            ("Swiftpin-Timeout", "4995"),
            ("Swiftpin-Service", "desk"),
            ("Swiftpin-Key", "customer-000123"),
            ("Swiftpin-Hops", "1"),
            ("Swiftpin-Caller", "127.0.0.1"),
            (HEADER_ANSWER_BYTES, str(answer_bytes)),
        ]
    )


def pieces(body: bytes) -> list[bytes]:
    """Return the body in pieces of at most `CHUNK` bytes."""
    return [body[start : start + CHUNK] for start in range(0, len(body), CHUNK)]
