"""The recorded answer of a request that ran before."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.dispatch.answered import Answered


@dataclass(frozen=True, kw_only=True, slots=True)
class Replayed:
    """The request ran before; `answer` is what the target said then."""

    answer: Answered
