"""Names of the fields that a model has at some path."""

from __future__ import annotations

from typing import Any, get_args

from pydantic import BaseModel


def field_names_at(model: type[BaseModel], path: tuple[str | int, ...]) -> set[str]:
    """Return the valid field names of the object at the path.

    The path may hold positions in lists and tags of unions, as pydantic gives them.
    """
    models = {model}
    for part in path:
        if isinstance(part, str):
            models = _models_below(models, part)
    return {name for item in models for name in item.model_fields}


def _models_below(models: set[type[BaseModel]], part: str) -> set[type[BaseModel]]:
    """Return the models of a field, or those of the given ones that carry the tag."""
    fields = [item.model_fields[part] for item in models if part in item.model_fields]
    if fields:
        found: set[type[BaseModel]] = set()
        for field in fields:
            found |= _models_in(field.annotation)
        return found
    return {item for item in models if _has_tag(item, part)}


def _has_tag(model: type[BaseModel], tag: str) -> bool:
    """Return whether one of the model's fields allows the tag as a literal."""
    return any(
        tag in get_args(field.annotation) for field in model.model_fields.values()
    )


def _models_in(annotation: Any) -> set[type[BaseModel]]:  # noqa: ANN401 - any type form
    """Return all models that a type annotation mentions."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return {annotation}
    found: set[type[BaseModel]] = set()
    for argument in get_args(annotation):
        found |= _models_in(argument)
    return found
