"""Kinds of requests that callers send."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """What a request does; a booking must not run twice."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    DOWNLOAD = "download"
