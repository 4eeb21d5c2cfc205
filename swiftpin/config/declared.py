"""A declaration read from a file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftpin.config.config_name import ConfigName
from swiftpin.config.declaration_problem import DeclarationProblem
from swiftpin.config.document import document_of
from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.models.declaration_models import Declaration
from swiftpin.config.yaml_document import YamlDocument


@dataclass(frozen=True, kw_only=True, slots=True)
class Declared:
    """A sound declaration and where it stands."""

    id: ConfigName
    model: Declaration
    source: YamlDocument

    @property
    def document(self) -> dict[str, Any]:
        """Return the document to store."""
        return document_of(self.model)

    def located(self, problem: FieldProblem) -> DeclarationProblem:
        """Return a problem of the declaration with its place."""
        return DeclarationProblem(
            place=self.source.place(problem.path), problem=problem
        )
