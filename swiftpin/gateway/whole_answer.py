"""A target's answer in memory."""

from __future__ import annotations

from dataclasses import dataclass

from multidict import CIMultiDict


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """Status, the headers that go on to the caller, and the whole body."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
