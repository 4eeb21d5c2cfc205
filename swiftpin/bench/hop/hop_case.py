"""Requests that are forwarded in one measurement."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MEGABYTE: Final = 1024 * 1024
SMALL_ANSWER: Final = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class HopCase:
    """Requests a second, and the bytes of each request's and answer's body."""

    name: str
    rate: float
    request_bytes: int
    answer_bytes: int


CASES: Final = (
    HopCase(name="small", rate=500.0, request_bytes=0, answer_bytes=SMALL_ANSWER),
    HopCase(
        name="upload", rate=25.0, request_bytes=MEGABYTE, answer_bytes=SMALL_ANSWER
    ),
    HopCase(name="download", rate=25.0, request_bytes=0, answer_bytes=MEGABYTE),
)
