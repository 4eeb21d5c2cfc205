"""Loading of declaration files."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Final

from pydantic import ValidationError

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.declaration_problem import DeclarationProblem
from swiftpin.config.declarations_error import DeclarationsError
from swiftpin.config.declared import Declared
from swiftpin.config.explain_errors import field_problems
from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.models.declaration_models import KINDS_BY_WORD, MODELS_BY_KIND
from swiftpin.config.place import Place
from swiftpin.config.read_yaml import read_yaml
from swiftpin.config.suggestion import did_you_mean
from swiftpin.config.yaml_document import YamlDocument

SUFFIXES: Final = frozenset({".yaml", ".yml"})


def load_declarations(paths: Iterable[Path]) -> list[Declared]:
    """Return the declarations of files and directories, in their order.

    A directory stands for its files that end in `.yaml` or `.yml`, not for those of
    directories below. Raises `DeclarationsError` with the mistakes of all files.
    """
    problems: list[DeclarationProblem] = []
    declared: list[Declared] = []
    for path in paths:
        for file in _files(path, problems):
            for document in read_yaml(file, problems):
                item = _declared(document, problems)
                if item is not None:
                    declared.append(item)
    problems.extend(_repeated(declared))
    if problems:
        raise DeclarationsError(problems)
    return declared


def _files(path: Path, problems: list[DeclarationProblem]) -> list[Path]:
    """Return the files that a path stands for."""
    if not path.is_dir():
        return [path]
    files = sorted(item for item in path.iterdir() if item.suffix in SUFFIXES)
    if not files:
        problem = FieldProblem(path=(), message="the directory has no YAML files")
        place = Place(file=str(path), line=1)
        problems.append(DeclarationProblem(place=place, problem=problem))
    return files


def _declared(
    document: YamlDocument, problems: list[DeclarationProblem]
) -> Declared | None:
    """Return the declaration; add its mistakes to `problems` and return None."""
    kind = _kind(document.data)
    if isinstance(kind, FieldProblem):
        found: Sequence[FieldProblem] = [kind]
    else:
        model_type = MODELS_BY_KIND[kind]
        try:
            model = model_type.model_validate(document.data)
        except ValidationError as err:
            found = field_problems(model_type, document.data, err)
        else:
            name = ConfigName(kind=kind, name=model.metadata.name)
            return Declared(id=name, model=model, source=document)
    problems.extend(
        DeclarationProblem(place=document.place(item.path), problem=item)
        for item in found
    )
    return None


def _kind(data: Any) -> ConfigKind | FieldProblem:  # noqa: ANN401 - any YAML value
    """Return the kind of a document, or what is wrong with it."""
    if not isinstance(data, dict):
        return FieldProblem(path=(), message="is no mapping of fields")
    word = data.get("kind")
    if word is None:
        return FieldProblem(path=("kind",), message="is required")
    kind = KINDS_BY_WORD.get(str(word))
    if kind is None:
        words = ", ".join(KINDS_BY_WORD)
        hint = did_you_mean(str(word), KINDS_BY_WORD)
        message = f"should be one of {words}, not {word!r}{hint}"
        return FieldProblem(path=("kind",), message=message)
    return kind


def _repeated(declared: list[Declared]) -> list[DeclarationProblem]:
    """Return a problem for each declaration whose kind and name came before."""
    problems = []
    first_by_id: dict[ConfigName, Declared] = {}
    for item in declared:
        first = first_by_id.setdefault(item.id, item)
        if first is item:
            continue
        message = f"{item.id.label} is declared at {first.source.place()} already"
        problem = FieldProblem(path=("metadata", "name"), message=message)
        problems.append(item.located(problem))
    return problems
