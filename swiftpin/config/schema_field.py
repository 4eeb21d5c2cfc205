"""One field of a declaration as its JSON Schema describes it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

BOUND_WORDS: Final = {
    "minimum": "at least {}",
    "exclusiveMinimum": "more than {}",
    "maximum": "at most {}",
    "minLength": "not empty",
    "maxLength": "at most {} characters",
    "minItems": "{} or more",
    "maxItems": "at most {}",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class SchemaField:
    """Dotted path, type with its bounds, and description of a field."""

    path: str
    type: str
    description: str


def schema_fields(schema: dict[str, Any]) -> Iterator[SchemaField]:
    """Yield all fields of a schema, parents before their children."""
    yield from _fields(schema, schema.get("$defs", {}), "")


def _fields(
    node: dict[str, Any], definitions: dict[str, Any], prefix: str
) -> Iterator[SchemaField]:
    """Yield the fields of one object."""
    for name, field in node.get("properties", {}).items():
        path = f"{prefix}{name}"
        yield SchemaField(
            path=path,
            type=_type(field, definitions),
            description=field.get("description", ""),
        )
        for child in _children(field):
            below = f"{path}[]." if field.get("type") == "array" else f"{path}."
            yield from _fields(_resolved(child, definitions), definitions, below)


def _children(field: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the schemas of a field's value, several for a union."""
    if "items" in field:
        return [field["items"]]
    return field.get("oneOf") or field.get("anyOf") or [field]


def _resolved(node: dict[str, Any], definitions: dict[str, Any]) -> dict[str, Any]:
    """Return the schema that a reference names, the node itself otherwise."""
    reference = node.get("$ref")
    if reference is None:
        return node if node.get("type") == "object" else {}
    resolved: dict[str, Any] = definitions[reference.rpartition("/")[2]]
    return resolved


def _type(field: dict[str, Any], definitions: dict[str, Any]) -> str:
    """Return the type with its bounds in words."""
    choices = [item for item in _children(field) if item.get("type") != "null"]
    if "const" in field:
        return f"`{field['const']}`"
    if "enum" in field:
        return " or ".join(f"`{item}`" for item in field["enum"])
    if "items" in field:
        item = _type(field["items"], definitions).partition(",")[0]
        return _bounded(f"list of {item}s", field)
    if len(choices) > 1 or "$ref" in choices[0]:
        return "object"
    return _bounded(choices[0]["type"], choices[0])


def _bounded(word: str, field: dict[str, Any]) -> str:
    """Return the word with the field's bounds."""
    bounds = [
        text.format(field[key]) for key, text in BOUND_WORDS.items() if key in field
    ]
    return ", ".join([word, *bounds])
