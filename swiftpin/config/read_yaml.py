"""Reading of YAML files with the lines of all fields kept."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

from yaml import (
    MappingNode,
    MarkedYAMLError,
    Node,
    SafeLoader,
    ScalarNode,
    YAMLError,
)

from swiftpin.config.declaration_problem import DeclarationProblem
from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.place import Place
from swiftpin.config.yaml_document import YamlDocument

NULL_TAG: Final = "tag:yaml.org,2002:null"


def read_yaml(path: Path, problems: list[DeclarationProblem]) -> Iterator[YamlDocument]:
    """Yield the documents of a file; mistakes of form are added to `problems`.

    Documents before a mistake of syntax are yielded, as the operator wants to see
    all mistakes at once.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        problems.append(_problem(str(path), 0, f"cannot be read: {err}"))
        return
    try:
        yield from _documents(str(path), text, problems)
    except MarkedYAMLError as err:
        line = err.problem_mark.line if err.problem_mark else 0
        problems.append(_problem(str(path), line, f"no YAML: {err.problem}"))
    except (YAMLError, ValueError) as err:
        problems.append(_problem(str(path), 0, f"no YAML: {err}"))


def _documents(
    file: str, text: str, problems: list[DeclarationProblem]
) -> Iterator[YamlDocument]:
    """Yield the documents that are not empty."""
    loader = SafeLoader(text)
    try:
        while loader.check_node():
            node = loader.get_node()
            if node is None or node.tag == NULL_TAG:
                continue
            problems.extend(_repeated_fields(file, node, set()))
            data = loader.construct_document(node)
            yield YamlDocument(file=file, node=node, data=data)
    finally:
        loader.dispose()


def _repeated_fields(
    file: str, node: Node, visited: set[int]
) -> Iterator[DeclarationProblem]:
    """Yield a problem for each field that stands twice in one mapping.

    PyYAML silently takes the last one; an operator would notice only that a
    setting has no effect. Aliases may form loops, hence `visited`.
    """
    if isinstance(node, ScalarNode) or id(node) in visited:
        return
    visited.add(id(node))
    if not isinstance(node, MappingNode):
        for item in node.value:
            yield from _repeated_fields(file, item, visited)
        return
    lines_by_field: dict[str, int] = {}
    for key, value in node.value:
        line = key.start_mark.line
        first = lines_by_field.setdefault(str(key.value), line)
        if first != line:
            message = f"stands in line {first + 1} already"
            yield _problem(file, line, message, str(key.value))
        yield from _repeated_fields(file, value, visited)


def _problem(file: str, line: int, message: str, field: str = "") -> DeclarationProblem:
    """Return a problem at a line counted from 0."""
    return DeclarationProblem(
        place=Place(file=file, line=line + 1),
        problem=FieldProblem(path=(field,) if field else (), message=message),
    )
