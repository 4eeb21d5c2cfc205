"""JSON Schema of the declarations."""

from __future__ import annotations

from typing import Any

from pydantic import TypeAdapter

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.models.declaration_models import MODELS_BY_KIND, Declaration


def json_schema(kind: ConfigKind | None = None) -> dict[str, Any]:
    """Return the JSON Schema of one kind, or one that any declaration fits."""
    if kind is None:
        return TypeAdapter[Declaration](Declaration).json_schema()
    return MODELS_BY_KIND[kind].model_json_schema()
