"""A mistake in a declaration file."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.place import Place


@dataclass(frozen=True, kw_only=True, slots=True)
class DeclarationProblem:
    """What is wrong, and where."""

    place: Place
    problem: FieldProblem

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"
