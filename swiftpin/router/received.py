"""A target's answer on its way to the caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.dispatch.http_answer import HttpAnswer


@dataclass(kw_only=True, slots=True)
class Received:
    """An answer whose beginning, or whole, was read."""

    answer: HttpAnswer
    first: list[bytes]
    """What was read of the body."""

    finish: Callable[[], None]
    """Hands back connection and permit; called once, when the rest was passed on."""
