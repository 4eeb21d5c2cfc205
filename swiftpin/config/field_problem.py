"""A rule that one field of a document breaks."""

from __future__ import annotations

from dataclasses import dataclass

FieldPath = tuple[str | int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldProblem:
    """The field's path in the document, and what is wrong with it."""

    path: FieldPath
    message: str

    def __str__(self) -> str:
        field = ".".join(str(part) for part in self.path)
        return f"{field}: {self.message}" if field else self.message
