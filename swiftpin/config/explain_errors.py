"""Wording of the mistakes that pydantic found."""

from __future__ import annotations

import re
from typing import Any, Final

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from swiftpin.config.field_problem import FieldPath, FieldProblem
from swiftpin.config.models.contradiction import CONTRADICTION
from swiftpin.config.models.field_names import field_names_at
from swiftpin.config.suggestion import did_you_mean

MAX_SHOWN_VALUE: Final = 60

_QUOTED = re.compile(r"'([^']*)'")


def field_problems(
    model: type[BaseModel],
    document: Any,  # noqa: ANN401 - any YAML or JSON value
    error: ValidationError,
) -> list[FieldProblem]:
    """Return one problem for each mistake of the document, worded for operators."""
    return [
        FieldProblem(path=_path(document, item), message=_message(model, item))
        for item in error.errors(include_url=False)
    ]


def _path(document: Any, item: ErrorDetails) -> FieldPath:  # noqa: ANN401
    """Return the path of the field at fault.

    Pydantic's path also holds the tags of unions, which are no fields of the file.
    """
    path: list[str | int] = []
    *parents, last = item["loc"] or ("",)
    node = document
    for part in parents:
        if isinstance(node, dict) and part not in node:
            continue
        path.append(part)
        node = node[part]
    path += [last] if item["loc"] else []
    if item["type"] == CONTRADICTION:
        path += item["ctx"]["field_path"]
    return tuple(path)


def _message(model: type[BaseModel], item: ErrorDetails) -> str:
    """Return the message with the value given or the name that was meant."""
    given = item["input"]
    match item["type"]:
        case "extra_forbidden":
            *parents, name = item["loc"]
            valid = field_names_at(model, tuple(parents))
            return f"unknown field{did_you_mean(str(name), sorted(valid))}"
        case "missing":
            return "is required"
        case "literal_error":
            return _choice(item["ctx"]["expected"], given)
        case "union_tag_invalid":
            return _choice(item["ctx"]["expected_tags"], given.get("source"))
        case _ if item["type"] == CONTRADICTION:
            return item["msg"]
        case _:
            return f"{_plain(item['msg'])}{_shown(given)}"


def _choice(expected: str, given: Any) -> str:  # noqa: ANN401 - value from a file
    """Return a message that names the allowed words."""
    hint = did_you_mean(str(given), _QUOTED.findall(expected))
    return f"should be {expected}{_shown(given)}{hint}"


def _plain(message: str) -> str:
    """Return pydantic's message without its prefix, starting in lower case."""
    text = message.removeprefix("Value error, ")
    return text[:1].lower() + text[1:]


def _shown(given: Any) -> str:  # noqa: ANN401 - value from a file
    """Return the value that was given, if it is short enough to show."""
    if isinstance(given, dict | list):
        return ""
    text = repr(given)
    return f", not {text}" if len(text) <= MAX_SHOWN_VALUE else ""
