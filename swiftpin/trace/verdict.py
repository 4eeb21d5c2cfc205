"""Verdict of one judgement."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.judgement import Judgement
from swiftpin.trace.violation import Violation


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What was found wrong; `judged` counts the things looked at.

    A verdict that judged nothing says nothing about the promise.
    """

    judgement: Judgement
    judged: int
    violations: tuple[Violation, ...]

    @property
    def is_good(self) -> bool:
        """Return whether nothing was found wrong."""
        return not self.violations
